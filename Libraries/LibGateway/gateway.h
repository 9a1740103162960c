#ifndef LIBGATEWAY_GATEWAY_H_
#define LIBGATEWAY_GATEWAY_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "LibCoordination/coordination_view.h"
#include "LibCoordination/failover_agent.h"
#include "LibCoordination/lease_promises.h"
#include "LibCoordination/member_registration.h"
#include "LibCoordination/member_watch.h"
#include "LibCoordination/roster_keeper.h"
#include "LibCore/error.h"
#include "LibCore/lifetime_guard.h"
#include "LibCore/random_source.h"
#include "LibCore/scheduler.h"
#include "LibDirectory/directory_codec.h"
#include "LibDirectory/target_directory.h"
#include "LibDispatch/event_log.h"
#include "LibDispatch/zone_traffic.h"
#include "LibGateway/drain_plan.h"
#include "LibGateway/gateway_metrics.h"
#include "LibGateway/gateway_session.h"
#include "LibGateway/home_assignment.h"
#include "LibGateway/isolation_detector.h"
#include "LibGateway/refresh_timing.h"
#include "LibGateway/session_authorizer.h"
#include "LibGateway/store_copy_poller.h"
#include "LibGateway/store_copy_server.h"
#include "LibGateway/table_copies.h"
#include "LibMembership/connection_shares.h"
#include "LibPeer/peer_links.h"
#include "LibPrimary/primary_leases.h"
#include "LibRelay/forward_server.h"
#include "LibRelay/forwarding_dispatcher.h"
#include "LibRelay/home_chooser.h"
#include "LibRelay/loan_server.h"
#include "LibRelay/relay_dialer.h"
#include "LibRelay/relaying_store.h"
#include "LibTables/table_cache.h"
#include "LibUsage/usage_limited_dispatcher.h"
#include "LibUsage/usage_service.h"

namespace kingcupmill {

// The core of a proxy, independent of sockets: connects callers' sessions with
// the targets, the store and the other proxies.
class Gateway final : public SessionHost {
 public:
  struct Options {
    VmName vm;
    PlaceName place;
    // The address at which other proxies reach this one ("IP:port").
    std::string peer_address;
    // Proxies to get copies of the store's tables from while the store cannot
    // be reached and no other member is known.
    std::vector<std::string> seed_addresses;
    // Identifies this start of the process; unique.
    std::string incarnation;
    uint64_t random_seed = 0;
    // The grace period: how long after the signal to stop the process is
    // killed.
    Duration drain_limit = std::chrono::seconds(6);
    // How long a leaving target may be sent new requests.
    Duration target_drain_limit = std::chrono::seconds(7);
    // How it is decided which statements leave this proxy's place.
    ZoneTraffic zone_traffic = ZoneTraffic::kFixedPenalty;
  };

  struct Dependencies {
    Scheduler& scheduler;
    RowStore& store;
    TargetDialer& dialer;
    PeerLinks& peers;
    PromotionAuthority& authority;
    const DirectoryCodec& codec;
  };

  Gateway(Options options, Dependencies dependencies);
  ~Gateway() override;

  void Start();

  // Whether callers should open new sessions here, as the readiness check
  // reports. False without a configuration, during a drain and while isolated.
  bool is_ready() const;

  // Whether a configuration is known.
  bool has_routes() const { return this->routes.has_value(); }

  // Whether a session may be opened. False in the second half of a drain.
  bool accepts_sessions() const;

  // Opens a session on `database`. Fails if the key is not valid there or if no
  // route is configured for the database. The owner calls DidCloseSession()
  // before it destroys the session.
  tl::expected<std::unique_ptr<GatewaySession>, StatementError> OpenSession(
      CallerChannel& channel,
      std::string_view database,
      std::string_view key);
  void DidCloseSession(const GatewaySession& session);

  // Answers a query from another proxy, at once or later.
  void HandleQuery(const PeerQuery& query,
                   const PeerLinks::SendAnswer& send_answer);

  // Starts a graceful shutdown. Calls `did_drain` when no work is left, or when
  // the deadline of the drain plan has passed and open work has been answered.
  void Drain(std::function<void()> did_drain);

  std::string FormatMetrics() const;

  const std::string& incarnation() const { return this->options.incarnation; }

  // SessionHost:
  const CallerRoute* FindRoute(std::string_view database) const override;
  RequestDispatcher* FindRequestDispatcher(const GroupName& group) override;
  SessionAuthorizer& session_authorizer() override { return this->authorizer; }
  Duration transaction_idle_limit() const override;
  bool accepts_transactions() const override;
  bool accepts_statement(const CallerRoute& route) const override;
  void DidAnswerCaller(const CallerStatement& statement,
                       const StatementAnswer& answer,
                       TimePoint received_at) override;

  // For tests and the status page.
  const PrimaryLeases& primary_leases() const { return this->leases; }
  const CoordinationView& coordination_view() const { return this->view; }
  Revision revision() const;
  size_t home_count() const {
    return this->registration.registered_groups().size();
  }

 private:
  // A copied table and the ages at which its copy counts as old.
  struct RefreshedTable {
    const TableCache* cache;
    StalenessLimits limits;
  };

  // A poll of the store that was sent then got no response.
  void DidTimeOut(TimePoint sent_at);
  void DidReadConfiguration();
  void DidReadTargets();
  void DidReadCoordination();
  // Updates the groups from the configuration and the targets, as input for the
  // choice of homes.
  void UpdateAssignmentGroups();
  // Chooses the groups of which this proxy is a home, and registers it for
  // them.
  void UpdateHomeAssignment();
  void UpdateDispatchers();
  // Returns the dispatcher that runs this proxy's requests for a group, without
  // regard to usage limits, or null.
  RequestDispatcher* FindUnlimitedDispatcher(const GroupName& group);
  // Returns the dispatcher of a group of which this proxy is or will be a home,
  // or null.
  GroupDispatcher* FindDispatcher(const GroupName& group);
  // Returns the dispatcher of a group of which this proxy is a registered home
  // and is not about to lose that role, or null.
  GroupDispatcher* FindHomeDispatcher(const GroupName& group);
  void Tick();
  // Returns the addresses of the other members that are not gone.
  std::vector<std::string> OtherMembers() const;
  // Chooses whether the tables are read from the store or through store
  // readers.
  void UpdateTableSources();
  // Whether a table's copy is old enough to be requested from another proxy.
  bool needs_copy(const RefreshedTable& table) const;
  void RequestCopies();
  // Whether the list of targets has been read reliably for long enough that a
  // target missing from it has really been removed.
  bool is_directory_current() const;
  // Whether the coordination table has been read recently, directly or through
  // another proxy.
  bool can_read_store() const;
  // Asks the other homes to promise that they start no handover, when the store
  // could not be read for a while.
  void RequestPromises();
  void DidReceivePromise(const std::string& address,
                         const PromiseAnswer& answer,
                         TimePoint asked_at);
  PromiseAnswer MakePromise();
  // Returns the newest known log position of each group's primary.
  std::vector<PositionSampleCopy> PositionSampleCopies() const;
  bool StopPrimary(const PrimaryRecord& record);
  ClosePrimaryAnswer HandleClose(const ClosePrimaryQuery& query);
  HealthAnswer HandleHealth(const HealthQuery& query);
  std::vector<RelayDialer::Lender> LendersOf(const GroupName& group) const;
  std::vector<TargetEntry> TargetsOf(const GroupName& group) const;
  // Returns the targets whose entries have expired, but whose logs may be
  // needed for a promotion.
  std::vector<TargetEntry> UnlistedTargetsOf(const GroupName& group) const;
  int SynchronousReplicasOf(const GroupName& group) const;
  ConnectionShares SharesOf(const GroupName& group) const;
  size_t ConnectionLimit(const GroupName& group) const;
  std::vector<GroupName> RegisteredGroups() const;
  // Returns how long a group's primary has not answered: by this proxy's own
  // requests if it is a home, else as reported by the homes in its place.
  // Without a home there, the silence of the other places also counts.
  Duration PrimarySilence(const GroupName& group) const;
  // Returns the number of groups of which this proxy is a home and on whose
  // primary it cannot renew its lease.
  size_t UnrenewableGroups() const;
  void TickIsolation();
  // Closes at most `maximum_count` sessions without an open statement or
  // transaction, the oldest first.
  void CloseIdleSessions(size_t maximum_count);
  // Returns the time since the drain was requested, or nothing before that.
  std::optional<Duration> DrainElapsed() const;
  void TickDrain();
  void FinishDrain();

  Options options;
  Dependencies dependencies;
  SeededRandom random;
  EventLog event_log;
  GatewayMetrics metrics;
  RelayingStore store;
  TableCache configuration;
  TableCache targets;
  TableCache coordination;
  std::array<RefreshedTable, 3> refreshed_tables;
  TableCopies table_copies;
  CoordinationView view;
  PrimaryLeases leases;
  LeasePromises promises;
  TargetDirectory directory;
  std::optional<RouteTable> routes;
  SessionAuthorizer authorizer;
  HomeAssignment home_assignment;
  std::vector<HomeAssignment::Group> assignment_groups;
  // The groups of which this proxy is or will be a home.
  std::set<GroupName> home_groups;
  std::map<GroupName, std::unique_ptr<GroupDispatcher>> dispatchers;
  HomeChooser home_chooser;
  std::map<GroupName, std::unique_ptr<ForwardingDispatcher>>
      forwarding_dispatchers;
  UsageService usage;
  std::map<GroupName, std::unique_ptr<UsageLimitedDispatcher>>
      usage_limited_dispatchers;
  RelayDialer relay_dialer;
  LoanServer loan_server;
  StoreCopyServer copy_server;
  StoreCopyPoller copy_poller;
  ForwardServer forward_server;
  MemberRegistration registration;
  MemberWatch watch;
  FailoverAgent failover;
  RosterKeeper roster_keeper;
  struct SessionEntry {
    GatewaySession* session = nullptr;
    CallerChannel* channel = nullptr;
  };
  // Keyed by session number, so that a drain closes the oldest first.
  std::map<uint64_t, SessionEntry> sessions;
  uint64_t next_session = 1;
  IsolationDetector isolation;
  std::vector<TargetEntry> decoded_targets;
  // The version of the targets that was last decoded and sent to peers with a
  // pending query.
  std::optional<uint64_t> published_targets_version;
  TimePoint members_probed_at{};
  TimePoint copies_requested_at{};
  // The store is read directly until then, because the store readers failed or
  // a failover was active.
  TimePoint read_store_until{};
  DrainPlan drain_plan;
  std::optional<TimePoint> draining_since;
  // All open work has been answered; the process is about to exit.
  bool has_drained = false;
  std::function<void()> did_drain;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBGATEWAY_GATEWAY_H_
