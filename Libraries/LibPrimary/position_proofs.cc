#include "LibPrimary/position_proofs.h"

#include <algorithm>

namespace kingcupmill {

namespace {

// Proofs closer together than this add nothing that a read could use.
constexpr Duration kSpacing = std::chrono::milliseconds(20);
// Older proofs serve no read: the largest age that callers state is seconds.
constexpr Duration kKept = std::chrono::seconds(10);

}  // namespace

void PositionProofs::Add(LogPoint position, TimePoint sent_at) {
  if (!this->proofs.empty()) {
    const Proof& newest = this->proofs.back();
    // Answers on several connections overtake each other. A proof out of order
    // is still true, but it is not needed.
    if (sent_at < newest.sent_at + kSpacing)
      return;
  }
  this->proofs.push_back(Proof{position, sent_at});
  while (this->proofs.front().sent_at + kKept < sent_at)
    this->proofs.pop_front();
}

std::optional<LogPoint> PositionProofs::Covering(TimePoint moment,
                                                 Term term) const {
  const auto first = std::find_if(
      this->proofs.begin(), this->proofs.end(), [&](const Proof& proof) {
        return proof.sent_at >= moment && proof.position.term >= term;
      });
  if (first == this->proofs.end())
    return std::nullopt;
  return first->position;
}

std::optional<TimePoint> PositionProofs::newest_at() const {
  if (this->proofs.empty())
    return std::nullopt;
  return this->proofs.back().sent_at;
}

}  // namespace kingcupmill
