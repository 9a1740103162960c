#ifndef LIBREQUESTS_GROUP_AGENT_H_
#define LIBREQUESTS_GROUP_AGENT_H_

#include <memory>

#include "LibRequests/group_monitor.h"
#include "LibRequests/group_options.h"
#include "LibRequests/read_executor.h"
#include "LibRequests/reply.h"
#include "LibRequests/transaction_table.h"
#include "LibRequests/write_executor.h"

namespace kingcupmill {

// Serves one group on one of its home proxies: monitors the targets, promotes a
// new primary when needed, and runs the clients' requests.
class GroupAgent {
 public:
  GroupAgent(Scheduler& scheduler,
             TargetConnector& connector,
             const DecisionLog& log,
             SeededRandom& random,
             GroupOptions options,
             GroupMonitor::DidPromote did_promote);
  ~GroupAgent();
  GroupAgent(const GroupAgent&) = delete;
  GroupAgent& operator=(const GroupAgent&) = delete;

  // Runs `request`. `reply` is called once, possibly before this returns.
  void Handle(ClientRequest request, Reply reply);

  // Whether no request is in flight and no transaction is open.
  bool is_idle() const;

  GroupMonitor& monitor() { return this->group_monitor; }
  const GroupMonitor& monitor() const { return this->group_monitor; }
  const ReadExecutor& reads() const { return this->read_executor; }
  TransactionTable& transactions() { return this->transaction_table; }
  const GroupOptions& options() const { return this->group_options; }

 private:
  void Tick();

  Scheduler& scheduler;
  GroupOptions group_options;
  GroupMonitor group_monitor;
  WriteExecutor write_executor;
  ReadExecutor read_executor;
  TransactionTable transaction_table;
  Scheduler::TimerId tick_timer = 0;
  // Shared with the replies, which may be called while this agent is destroyed.
  std::shared_ptr<size_t> requests_in_flight = std::make_shared<size_t>(0);
};

}  // namespace kingcupmill

#endif  // LIBREQUESTS_GROUP_AGENT_H_
