#include "LibFailover/age_proofs.h"

#include <algorithm>

namespace kingcupmill {

AgeProofs::AgeProofs(Options options) : options(options) {}

void AgeProofs::Add(TimePoint at, Position position) {
  if (!this->proofs.empty()) {
    const Proof& last = this->proofs.back();
    if (at < last.at || position < last.position)
      return;
    // Keeping the second-last proof's distance makes the list bounded, while
    // the newest proof is always present.
    const size_t size = this->proofs.size();
    if (size >= 2 &&
        last.at - this->proofs[size - 2].at < this->options.spacing) {
      this->proofs.pop_back();
    }
  }
  this->proofs.push_back({at, position});
  while (at - this->proofs.front().at > this->options.retention)
    this->proofs.pop_front();
}

std::optional<Position> AgeProofs::PositionSince(TimePoint since) const {
  const auto proof =
      std::lower_bound(this->proofs.begin(), this->proofs.end(), since,
                       [](const Proof& candidate, TimePoint time) {
                         return candidate.at < time;
                       });
  if (proof == this->proofs.end())
    return std::nullopt;
  return proof->position;
}

std::optional<TimePoint> AgeProofs::ProvenAt(Position position) const {
  const auto after =
      std::upper_bound(this->proofs.begin(), this->proofs.end(), position,
                       [](Position wanted, const Proof& candidate) {
                         return wanted < candidate.position;
                       });
  if (after == this->proofs.begin())
    return std::nullopt;
  return std::prev(after)->at;
}

}  // namespace kingcupmill
