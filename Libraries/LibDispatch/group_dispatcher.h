#ifndef LIBDISPATCH_GROUP_DISPATCHER_H_
#define LIBDISPATCH_GROUP_DISPATCHER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "LibCore/lifetime_guard.h"
#include "LibCore/names.h"
#include "LibCore/scheduler.h"
#include "LibDirectory/target_entry.h"
#include "LibDispatch/Forward.h"
#include "LibDispatch/connection_provider.h"
#include "LibDispatch/dispatch_request.h"
#include "LibDispatch/in_flight_statements.h"
#include "LibDispatch/request_dispatcher.h"
#include "LibDispatch/request_queue.h"
#include "LibDispatch/zone_traffic.h"
#include "LibDispatch/zone_traffic_control.h"
#include "LibLink/target_channel.h"
#include "LibPrimary/position_samples.h"
#include "LibPrimary/primary_leases.h"

namespace kingcupmill {

class ConnectionPool;
class PooledConnection;

// Sends requests to the targets of one group: keeps the queue, chooses the
// target, and accepts an answer from the primary only while the lease on it is
// valid.
class GroupDispatcher final : public RequestDispatcher {
 public:
  GroupDispatcher(Scheduler& scheduler,
                  TargetDialers dialers,
                  const PrimaryLeases& leases,
                  EventLog& event_log,
                  GroupName group,
                  PlaceName place,
                  Duration target_drain_limit,
                  ZoneTrafficOptions zone_traffic = {});
  ~GroupDispatcher() override;

  // Sets the group's targets, how many connections to one target this proxy may
  // have, and how many homes share the rate of new ones.
  void SetTargets(std::span<const TargetEntry> entries,
                  size_t maximum_connections,
                  size_t home_count = 1);

  // RequestDispatcher:
  RequestNumber Submit(DispatchRequest request,
                       DispatchCallback did_finish) override;
  void Cancel(RequestNumber number) override;

  // Called when the leases have changed: aborts transactions on a primary that
  // may no longer be used, and starts requests that waited for one.
  void DidChangeLeases();

  // Closes connections that have lost an answer, starts queued requests, and
  // probes a primary that has not answered recently, so that a missing answer
  // shows a failure and not an idle connection. Called at short intervals.
  void Tick();

  // Adds a position that another proxy has received from the primary in answer
  // to a command sent at `sent_at`.
  void AddPositionSample(LogPoint point, TimePoint sent_at);

  // How long the primary has left this proxy's oldest probe unanswered; zero if
  // none is.
  Duration PrimarySilence() const;
  // How long ago the primary last answered this proxy, to any command.
  Duration PrimaryAnswerAge() const {
    return this->scheduler.Now() - this->last_primary_answer_at;
  }
  // Whether the target that holds the primary role has answered that it is
  // read-only.
  bool has_primary_reported_read_only() const {
    return this->did_primary_report_read_only;
  }
  // Whether a replica has answered within the last second.
  bool has_recent_replica_answer() const;
  // The number of statements and transactions on the primary that have not
  // ended.
  size_t active_primary_requests() const;

  const PositionSamples& position_samples() const { return this->samples; }
  const std::map<TargetName, std::shared_ptr<TargetView>>& targets() const {
    return this->target_by_name;
  }
  const RequestQueue& request_queue() const { return this->queue; }
  const ZoneBalancer& zone_balancer() const {
    return this->zone_traffic.balancer();
  }
  // Connections that targets rejected because of their connection limit.
  uint64_t connection_limit_refusals() const {
    return this->connection_limit_refusal_count;
  }
  // Connections that targets have accepted.
  uint64_t connections_opened() const { return this->connections_opened_count; }
  // Connections that were closed to make room for another customer's.
  uint64_t connections_reassigned() const {
    return this->connections_reassigned_count;
  }

  // Returns an open connection for the proxy's own commands to a target, or
  // null. If there is none it starts to open one.
  std::shared_ptr<PooledConnection> ControlConnection(const TargetName& target);
  // Whether a connection to the target is open.
  bool is_connected(const TargetName& target) const;
  // Starts to open one more connection to a target, for the proxy's own
  // commands, unless the limit forbids it.
  void AddControlConnection(const TargetName& target);

  // Returns since when the target has been leaving, as far as this proxy knows;
  // nothing if it is not.
  std::optional<TimePoint> LeavingSince(const TargetName& target) const;

  // Whether a connection was lent, or none is free. With kOpening one is being
  // opened.
  enum class LendResult { kLent, kOpening, kRefused };
  // Lends a free connection of the customer to `target` to another proxy.
  // Starts to open one when there is none.
  LendResult LendConnection(const TargetName& target,
                            const CustomerName& customer,
                            std::shared_ptr<TargetView>& view,
                            std::shared_ptr<PooledConnection>& connection);
  // Takes a lent connection back: resets its session and rolls back an open
  // transaction.
  void ReclaimConnection(const std::shared_ptr<TargetView>& view,
                         const std::shared_ptr<PooledConnection>& connection);

  // For OpenTransaction.
  bool is_lease_valid(const PrimaryRecord& record) const;
  TimePoint Now() const { return this->scheduler.Now(); }
  void DidReceiveFrom(TargetView& target,
                      const StatementAnswer& answer,
                      TimePoint sent_at);
  InFlightStatements& in_flight_statements() {
    return this->unanswered_statements;
  }
  void DidOpenTransaction(OpenTransaction* transaction);
  void DidEndTransaction(OpenTransaction* transaction,
                         const std::shared_ptr<TargetView>& target,
                         const std::shared_ptr<PooledConnection>& connection);

 private:
  struct PendingRequest;
  using RequestPointer = std::shared_ptr<PendingRequest>;
  enum class StartResult { kStarted, kMustWait, kNoTarget };
  struct TargetChoice {
    std::shared_ptr<TargetView> target;
    std::optional<LogPoint> required_position;
    std::optional<PrimaryRecord> lease;
  };

  void Dispatch();
  StartResult TryStart(const RequestPointer& pending);
  std::optional<TargetChoice> ChooseTarget(PendingRequest& pending,
                                           bool& may_become_available);
  std::optional<TargetChoice> ChoosePrimary(PendingRequest& pending,
                                            bool& may_become_available);
  void Start(const RequestPointer& pending, TargetChoice choice);
  void Send(const RequestPointer& pending,
            const TargetChoice& choice,
            std::shared_ptr<PooledConnection> connection);
  void DidProbe(const RequestPointer& pending,
                const TargetChoice& choice,
                std::shared_ptr<PooledConnection> connection,
                bool is_alive);
  void DidReceive(const RequestPointer& pending,
                  const TargetChoice& choice,
                  const std::shared_ptr<PooledConnection>& connection,
                  TimePoint sent_at,
                  std::optional<StatementAnswer> answer);
  void DidReceiveError(const RequestPointer& pending,
                       const TargetChoice& choice,
                       StatementAnswer answer);
  void DidReachHedgeDelay(const RequestPointer& pending,
                          const TargetName& target);
  void Requeue(const RequestPointer& pending);
  bool is_queued(const PendingRequest& pending) const;
  void DidExpireInQueue(RequestNumber number);
  void Refuse(const RequestPointer& pending,
              StatementErrorCode code,
              const char* reason);
  void Refuse(const RequestPointer& pending,
              StatementErrorCode code,
              const char* reason,
              Duration retry_delay);
  void Finish(const RequestPointer& pending, DispatchOutcome outcome);
  Duration RetryDelay() const;
  void ReleaseConnection(const std::shared_ptr<TargetView>& target,
                         const std::shared_ptr<PooledConnection>& connection);
  void RollBackAndRelease(const std::shared_ptr<TargetView>& target,
                          const std::shared_ptr<PooledConnection>& connection);
  bool is_usable(const TargetView& target) const;
  // Returns how long a leaving primary takes new requests.
  Duration LeavingPrimaryLimit(const TargetView& primary) const;
  void PruneRetiredTargets();

  Scheduler& scheduler;
  TargetDialers dialers;
  const PrimaryLeases& leases;
  EventLog& event_log;
  GroupName group;
  PlaceName place;
  Duration target_drain_limit;
  PositionSamples samples;
  std::map<TargetName, std::shared_ptr<TargetView>> target_by_name;
  // Removed targets that still have connections in use.
  std::vector<std::shared_ptr<TargetView>> retired_targets;
  ConnectionProvider connection_provider;
  std::map<RequestNumber, RequestPointer> pending_by_number;
  RequestQueue queue;
  ZoneTrafficControl zone_traffic;
  std::set<OpenTransaction*> transactions;
  // Statements outside transactions that were sent to the primary.
  struct PrimaryStatement {
    std::shared_ptr<PooledConnection> connection;
    PrimaryRecord lease;
  };
  std::map<RequestNumber, PrimaryStatement> statements_on_primary;
  InFlightStatements unanswered_statements;
  uint64_t connection_limit_refusal_count = 0;
  uint64_t connections_opened_count = 0;
  uint64_t connections_reassigned_count = 0;
  RequestNumber next_number = 1;
  bool is_dispatching = false;
  bool needs_another_pass = false;
  TimePoint last_primary_answer_at{};
  // When the oldest unanswered probe of the primary was sent.
  std::optional<TimePoint> unanswered_since;
  TargetName primary_name;
  Term primary_term;
  uint64_t primary_version = 0;
  TimePoint last_probed_at{};
  bool did_primary_report_read_only = false;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBDISPATCH_GROUP_DISPATCHER_H_
