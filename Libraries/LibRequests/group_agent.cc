#include "LibRequests/group_agent.h"

#include <utility>

namespace kingcupmill {

namespace {

constexpr Duration kTransactionTickInterval = std::chrono::milliseconds(500);

}  // namespace

GroupAgent::GroupAgent(Scheduler& scheduler,
                       TargetConnector& connector,
                       const DecisionLog& log,
                       SeededRandom& random,
                       GroupOptions options,
                       GroupMonitor::DidPromote did_promote)
    : scheduler(scheduler),
      group_options(std::move(options)),
      group_monitor(scheduler,
                    connector,
                    log,
                    random,
                    this->group_options,
                    std::move(did_promote)),
      write_executor(scheduler, this->group_monitor, log, this->group_options),
      read_executor(scheduler, this->group_monitor, log, this->group_options),
      transaction_table(scheduler,
                        this->group_monitor,
                        this->write_executor,
                        random,
                        this->group_options) {
  this->Tick();
}

GroupAgent::~GroupAgent() {
  this->scheduler.Cancel(this->tick_timer);
}

void GroupAgent::Tick() {
  this->transaction_table.Tick();
  this->tick_timer = this->scheduler.PostAfter(kTransactionTickInterval,
                                               [this] { this->Tick(); });
}

bool GroupAgent::is_idle() const {
  return *this->requests_in_flight == 0 &&
         this->transaction_table.open_count() == 0;
}

void GroupAgent::Handle(ClientRequest request, Reply client_reply) {
  ++*this->requests_in_flight;
  Reply reply = [count = this->requests_in_flight,
                 client_reply = std::move(client_reply)](ClientAnswer answer) {
    --*count;
    client_reply(std::move(answer));
  };
  switch (request.operation) {
    case ClientOperation::kRead:
      return this->read_executor.Execute(std::move(request), std::move(reply));
    case ClientOperation::kWrite:
      return this->write_executor.Execute(std::move(request), std::move(reply));
    case ClientOperation::kGetOutcome:
      return this->write_executor.ResolveOutcome(std::move(request),
                                                 std::move(reply));
    case ClientOperation::kBegin:
      return this->transaction_table.Begin(std::move(request),
                                           std::move(reply));
    case ClientOperation::kExecute:
      return this->transaction_table.Execute(std::move(request),
                                             std::move(reply));
    case ClientOperation::kCommit:
      return this->transaction_table.Commit(std::move(request),
                                            std::move(reply));
    case ClientOperation::kRollback:
      return this->transaction_table.Rollback(std::move(request),
                                              std::move(reply));
  }
}

}  // namespace kingcupmill
