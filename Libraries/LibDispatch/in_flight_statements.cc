#include "LibDispatch/in_flight_statements.h"

#include <utility>

#include "LibDispatch/target_view.h"
#include "LibLink/pooled_connection.h"

namespace kingcupmill {

namespace {

// An answer counts as lost if the statement has waited for its timeout and the
// target has answered a command that was sent this much later: nothing more
// arrives on that connection. The timeout is longer when a lost answer leaves
// the outcome unknown to the caller.
constexpr Duration kMinimumSendGap = std::chrono::milliseconds(150);
constexpr Duration kLostAnswerTimeout = std::chrono::milliseconds(300);
constexpr Duration kLostOutcomeTimeout = std::chrono::milliseconds(400);

}  // namespace

uint64_t InFlightStatements::DidSend(
    std::shared_ptr<TargetView> target,
    std::shared_ptr<PooledConnection> connection,
    AnswerLoss answer_loss) {
  ++target->in_flight;
  const uint64_t send_id = this->next_send_id++;
  this->statements.emplace(
      send_id,
      Statement{std::move(target), std::move(connection), answer_loss});
  return send_id;
}

void InFlightStatements::DidEnd(uint64_t send_id) {
  const auto ended = this->statements.extract(send_id);
  if (!ended.empty())
    --ended.mapped().target->in_flight;
}

std::vector<std::shared_ptr<PooledConnection>> InFlightStatements::FindLost(
    TimePoint now) const {
  std::vector<std::shared_ptr<PooledConnection>> lost;
  for (const auto& [send_id, statement] : this->statements) {
    const auto since = statement.connection->unanswered_since();
    const Duration timeout = statement.answer_loss == AnswerLoss::kRecoverable
                                 ? kLostAnswerTimeout
                                 : kLostOutcomeTimeout;
    if (!since || now - *since < timeout)
      continue;
    if (statement.target->newest_answered_sent_at > *since + kMinimumSendGap)
      lost.push_back(statement.connection);
  }
  return lost;
}

}  // namespace kingcupmill
