#ifndef LIBGATEWAY_GATEWAY_H_
#define LIBGATEWAY_GATEWAY_H_

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
#include "LibCoordination/member_registration.h"
#include "LibCoordination/member_watch.h"
#include "LibCore/life_guard.h"
#include "LibCore/random_source.h"
#include "LibCore/scheduler.h"
#include "LibDirectory/directory_codec.h"
#include "LibDirectory/target_directory.h"
#include "LibDispatch/event_journal.h"
#include "LibGateway/copy_desk.h"
#include "LibGateway/copy_follower.h"
#include "LibGateway/drain_plan.h"
#include "LibGateway/gateway_metrics.h"
#include "LibGateway/gateway_session.h"
#include "LibGateway/home_roles.h"
#include "LibGateway/isolation_watch.h"
#include "LibMembership/connection_shares.h"
#include "LibPeer/peer_links.h"
#include "LibPrimary/primary_leases.h"
#include "LibRelay/forward_desk.h"
#include "LibRelay/forwarding_group.h"
#include "LibRelay/home_chooser.h"
#include "LibRelay/loan_desk.h"
#include "LibRelay/relay_dialer.h"
#include "LibRelay/relaying_store.h"
#include "LibTables/table_follower.h"

namespace kingcupmill {

// One proxy without its sockets: sessions on one side, targets, the store and
// other proxies on the other.
class Gateway final : public SessionHost {
 public:
  struct Options {
    VmName vm;
    PlaceName place;
    // Where other proxies reach this one ("IP:port").
    std::string peer_address;
    // Other proxies to learn from while the store cannot be reached.
    std::vector<std::string> seed_addresses;
    // Tells this start from every other; unique.
    std::string incarnation;
    uint64_t random_seed = 0;
    // How long the process has between the signal to stop and its end.
    Duration drain_limit = std::chrono::seconds(6);
  };

  struct Surroundings {
    Scheduler& scheduler;
    RowStore& store;
    TargetDialer& dialer;
    PeerLinks& peers;
    PromotionAuthority& authority;
    const DirectoryCodec& codec;
  };

  Gateway(Options options, Surroundings surroundings);
  ~Gateway() override;

  void Start();

  // Whether new sessions should come here.
  bool is_ready() const;

  // Whether a configuration is known.
  bool has_routes() const { return this->routes.has_value(); }

  // Whether a session may be opened; not in the second half of a drain.
  bool takes_sessions() const;

  // Opens a session on `database`, or returns null when it is not declared.
  std::unique_ptr<GatewaySession> OpenSession(CallerChannel& channel,
                                              std::string_view database);
  void DidCloseSession(const GatewaySession& session);

  // Answers another proxy.
  void HandleQuery(const PeerQuery& query, const PeerLinks::Answer& answer);

  // Ends what is open and tells `did_drain` when nothing is left, or when the
  // time is over.
  void Drain(std::function<void()> did_drain);

  std::string FormatMetrics() const;

  const std::string& incarnation() const { return this->options.incarnation; }

  // SessionHost:
  const CallerRoute* FindRoute(std::string_view database) const override;
  GroupAccess* FindAccess(const GroupName& group) override;
  Duration transaction_idle_limit() const override;
  bool takes_transactions() const override;
  bool takes_statement(const CallerRoute& route) const override;
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
  void DidReadConfiguration();
  void DidReadTargets();
  void DidReadCoordination();
  // Gathers what the choice of homes depends on, when it may have changed.
  void UpdateRoleGroups();
  // Chooses the groups of which this proxy is a home, and registers them.
  void UpdateRoles();
  void UpdateDispatchers();
  // Returns the dispatcher of a group of which this proxy is or will be a home,
  // or null.
  GroupDispatcher* FindGroup(const GroupName& group);
  // Returns the dispatcher of a group of which this proxy is a registered home
  // and stays one, or null.
  GroupDispatcher* FindHome(const GroupName& group);
  void Tick();
  // The addresses of the other members that are not gone.
  std::vector<std::string> OtherMembers() const;
  // Follows the store itself, or through members that read it for others.
  void UpdateSource();
  void AskForCopies();
  void TakeCopies(const CopyAnswer& answer, TimePoint asked_at);
  CopyAnswer MakeCopies(const CopyQuery& query) const;
  std::vector<uint64_t> KnownVersions() const;
  bool StopPrimary(const PrimaryRecord& record);
  CloseAnswer HandleClose(const CloseQuery& query);
  HealthAnswer HandleHealth(const HealthQuery& query);
  std::vector<RelayDialer::Lender> LendersOf(const GroupName& group) const;
  std::vector<TargetEntry> TargetsOf(const GroupName& group) const;
  ConnectionShares SharesOf(const GroupName& group) const;
  size_t LinkLimit(const GroupName& group) const;
  std::vector<GroupName> RegisteredGroups() const;
  // How long a group's primary has been silent, by this proxy's own questions
  // or by the word of the homes of its place; without such homes, how long
  // other places have been silent.
  Duration PrimarySilence(const GroupName& group) const;
  void TickIsolation();
  // Closes at most `most` sessions that have nothing under way.
  void CloseSessionsAtRest(size_t most);
  // The time since the request to stop, or nothing before it.
  std::optional<Duration> DrainElapsed() const;
  void TickDrain();
  void FinishDrain();

  Options options;
  Surroundings around;
  SeededRandom random;
  EventJournal journal;
  GatewayMetrics metrics;
  RelayingStore store;
  TableFollower configuration;
  TableFollower targets;
  TableFollower coordination;
  CoordinationView view;
  PrimaryLeases leases;
  TargetDirectory directory;
  std::optional<RouteTable> routes;
  HomeRoles roles;
  std::vector<HomeRoles::Group> role_groups;
  // The groups of which this proxy is or will be a home.
  std::set<GroupName> home_groups;
  std::map<GroupName, std::unique_ptr<GroupDispatcher>> dispatchers;
  HomeChooser home_chooser;
  std::map<GroupName, std::unique_ptr<ForwardingGroup>> forwarding_groups;
  RelayDialer relay_dialer;
  LoanDesk loan_desk;
  CopyDesk copy_desk;
  CopyFollower copy_follower;
  ForwardDesk forward_desk;
  MemberRegistration registration;
  MemberWatch watch;
  FailoverAgent failover;
  struct OpenCaller {
    GatewaySession* session = nullptr;
    CallerChannel* channel = nullptr;
  };
  // By number, so that a drain closes the oldest first.
  std::map<uint64_t, OpenCaller> sessions;
  uint64_t next_session = 1;
  IsolationWatch isolation;
  std::vector<TargetEntry> decoded_targets;
  // The version of the targets that has been decoded and waiting peers told.
  std::optional<uint64_t> told_targets;
  TimePoint asked_others_at{};
  TimePoint asked_for_copies_at{};
  // Until when the store is read directly because the readers did not serve.
  TimePoint direct_until{};
  DrainPlan drain_plan;
  std::optional<TimePoint> draining_since;
  // Everything has been answered; the process is about to end.
  bool has_drained = false;
  std::function<void()> did_drain;
  LifeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBGATEWAY_GATEWAY_H_
