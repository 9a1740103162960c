#include "LibLab/history_checker.h"

#include <utility>

namespace kingcupmill {

HistoryChecker::HistoryChecker(
    std::map<GroupName, FinalState> states,
    std::map<GroupName, std::vector<ClockTick>> ticks,
    Duration staleness_bound)
    : states(std::move(states)),
      ticks(std::move(ticks)),
      staleness_bound(staleness_bound) {}

ExperimentReport::Violations HistoryChecker::Check(
    std::span<const CallRecord> history) const {
  ExperimentReport::Violations violations;
  for (const CallRecord& record : history) {
    switch (record.kind) {
      case CallKind::kWrite:
        this->CheckWrite(record, violations);
        break;
      case CallKind::kClock:
        break;
      case CallKind::kTransaction:
        this->CheckTransaction(record, violations);
        break;
      case CallKind::kSessionRead:
      case CallKind::kBoundedRead:
        this->CheckRead(record, violations);
        break;
    }
  }
  return violations;
}

void HistoryChecker::CheckWrite(
    const CallRecord& record,
    ExperimentReport::Violations& violations) const {
  const FinalState& state = this->states.at(record.group);
  const auto found = state.orders.find(
      {static_cast<int64_t>(record.session), record.sequence});
  const int64_t count = found == state.orders.end() ? 0 : found->second;
  if (count > 1)
    ++violations.duplicated;
  if (record.outcome == Outcome::kNotRun && count > 0)
    ++violations.false_not_run;
  if (record.outcome != Outcome::kRan || count > 0)
    return;
  ++violations.lost;
  if (record.target != state.primary)
    ++violations.superseded_ack;
}

void HistoryChecker::CheckTransaction(
    const CallRecord& record,
    ExperimentReport::Violations& violations) const {
  const FinalState& state = this->states.at(record.group);
  const auto found = state.transfers.find(
      {static_cast<int64_t>(record.session), record.sequence});
  const FinalState::Transfer transfer =
      found == state.transfers.end() ? FinalState::Transfer{} : found->second;
  const bool is_absent = transfer.halves == 0;
  const bool is_whole = transfer.halves == 2 && transfer.sum == 0;
  if (transfer.halves > 2)
    ++violations.duplicated;
  else if (!is_absent && !is_whole)
    ++violations.mixed;
  if (record.outcome == Outcome::kNotRun && !is_absent)
    ++violations.false_not_run;
  if (record.outcome == Outcome::kRan && is_absent)
    ++violations.lost;
}

void HistoryChecker::CheckRead(const CallRecord& record,
                               ExperimentReport::Violations& violations) const {
  if (record.outcome != Outcome::kRan)
    return;
  if (record.echo != record.expected_echo)
    ++violations.mixed;
  if (record.kind == CallKind::kSessionRead) {
    if (record.seen_sequence < record.required_sequence)
      ++violations.read_your_writes;
    return;
  }
  const auto ticks = this->ticks.find(record.group);
  if (ticks == this->ticks.end())
    return;
  // A write acknowledged before this time is older than the staleness bound
  // during the whole call, so the answer must include it.
  const TimePoint limit = record.started_at - this->staleness_bound;
  int64_t required = 0;
  for (const ClockTick& tick : ticks->second) {
    if (tick.acknowledged_at >= limit)
      break;
    required = tick.value;
  }
  if (record.seen_sequence < required)
    ++violations.stale_beyond_age;
}

}  // namespace kingcupmill
