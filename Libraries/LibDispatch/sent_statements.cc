#include "LibDispatch/sent_statements.h"

#include <utility>

#include "LibDispatch/target_view.h"
#include "LibLink/target_link.h"

namespace kingcupmill {

namespace {

// A statement whose target has answered what was sent this much later has lost
// its answer; nothing further comes on its connection. What leaves a caller in
// doubt is waited for longer.
constexpr Duration kOvertakenBy = std::chrono::milliseconds(150);
constexpr Duration kLostAnswerAfter = std::chrono::milliseconds(300);
constexpr Duration kLostOutcomeAfter = std::chrono::milliseconds(400);

}  // namespace

uint64_t SentStatements::DidSend(std::shared_ptr<TargetView> target,
                                 std::shared_ptr<TargetLink> link,
                                 Loss loss) {
  ++target->in_flight;
  const uint64_t sending = this->next_sending++;
  this->statements.emplace(sending,
                           Statement{std::move(target), std::move(link), loss});
  return sending;
}

void SentStatements::DidEnd(uint64_t sending) {
  const auto ended = this->statements.extract(sending);
  if (!ended.empty())
    --ended.mapped().target->in_flight;
}

std::vector<std::shared_ptr<TargetLink>> SentStatements::FindLost(
    TimePoint now) const {
  std::vector<std::shared_ptr<TargetLink>> lost;
  for (const auto& [sending, statement] : this->statements) {
    const auto since = statement.link->unanswered_since();
    const Duration patience =
        statement.loss == Loss::kNothing ? kLostAnswerAfter : kLostOutcomeAfter;
    if (!since || now - *since < patience)
      continue;
    if (statement.target->newest_answered_sent_at > *since + kOvertakenBy)
      lost.push_back(statement.link);
  }
  return lost;
}

}  // namespace kingcupmill
