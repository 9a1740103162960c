#include "LibCoordination/status_queries.h"

#include <algorithm>
#include <utility>

#include "LibDispatch/group_dispatcher.h"
#include "LibLink/pooled_connection.h"

namespace kingcupmill {

namespace {

constexpr Duration kUsefulTimeout = std::chrono::milliseconds(400);
constexpr Duration kShortestRequiredTimeout = std::chrono::seconds(1);
constexpr Duration kLongestRequiredTimeout = std::chrono::seconds(5);
// If every connection carries a command already, another one is opened and used
// after this.
constexpr Duration kBusyConnectionPause = std::chrono::milliseconds(400);

}  // namespace

StatusQueries::StatusQueries(Scheduler& scheduler,
                             GroupDispatcher& dispatcher,
                             DidReport did_report)
    : scheduler(scheduler),
      dispatcher(dispatcher),
      did_report(std::move(did_report)) {}

void StatusQueries::Send(const TargetName& target,
                         Need need,
                         Duration waited_for) {
  const TimePoint now = this->scheduler.Now();
  const auto connection = this->dispatcher.ControlConnection(target);
  if (!connection)
    return;
  Duration timeout = kUsefulTimeout;
  if (need == Need::kRequired) {
    timeout = std::clamp(waited_for, kShortestRequiredTimeout,
                         kLongestRequiredTimeout);
    if (!connection->is_idle()) {
      const auto last = this->last_sent_at.find(target);
      if (last != this->last_sent_at.end() &&
          now - last->second < kBusyConnectionPause)
        return;
      this->dispatcher.AddControlConnection(target);
    }
  }
  this->last_sent_at[target] = now;
  TargetCommand command;
  command.kind = TargetCommandKind::kStatus;
  connection->Send(
      std::move(command), timeout,
      this->life.Wrap([this, target](std::optional<StatementAnswer> answer) {
        if (answer && answer->report)
          this->did_report(target, *answer->report);
      }));
}

}  // namespace kingcupmill
