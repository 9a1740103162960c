#include "LibCoordination/successor_choice.h"

#include <tuple>

namespace kingcupmill {

namespace {

using Standing = SuccessorCandidate::Standing;

auto Rank(const SuccessorCandidate& candidate, bool is_synchronous) {
  const bool can_serve =
      is_synchronous || candidate.standing != Standing::kEnding;
  return std::tuple(can_serve, candidate.report->received,
                    !candidate.is_excluded, candidate.standing,
                    candidate.report->is_primary);
}

}  // namespace

SuccessorChoice ChooseSuccessor(std::span<const SuccessorCandidate> candidates,
                                int synchronous_replicas,
                                std::optional<LogPoint> final_point) {
  const bool is_synchronous = synchronous_replicas > 0;
  SuccessorChoice choice;
  const SuccessorCandidate* best = nullptr;
  for (const SuccessorCandidate& candidate : candidates) {
    if (!candidate.report) {
      if (candidate.is_replica)
        choice.missing.push_back(candidate.name);
      if (!candidate.is_excluded)
        choice.is_complete = false;
      continue;
    }
    // With synchronous replicas, the next best may lack commits.
    if (candidate.is_excluded && !is_synchronous)
      continue;
    if (!best || Rank(candidate, is_synchronous) > Rank(*best, is_synchronous))
      best = &candidate;
  }
  if (!best)
    return choice;
  choice.target = best->name;
  choice.received = best->report->received;
  // A log beyond the end of the old primary's shows that this has lost its own.
  const bool has_final_point = final_point && choice.received == *final_point;
  choice.is_safe =
      !is_synchronous || has_final_point ||
      choice.missing.size() < static_cast<size_t>(synchronous_replicas);
  return choice;
}

}  // namespace kingcupmill
