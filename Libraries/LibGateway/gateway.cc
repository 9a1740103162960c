#include "LibGateway/gateway.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "LibDispatch/open_transaction.h"
#include "LibDispatch/target_view.h"
#include "LibGateway/group_metrics.h"
#include "LibGateway/refresh_timing.h"
#include "LibGateway/store_readers.h"
#include "LibStatement/error_names.h"

namespace kingcupmill {

namespace {

// Long enough for two long polls. A handover waits that long for a proxy that
// does not answer.
constexpr LeaseTerms kLeaseTerms = {
    .length = std::chrono::milliseconds(2000),
    .maximum_length = std::chrono::milliseconds(7500),
    .slack = std::chrono::milliseconds(300)};
// When the newest read of the coordination table is older, which is more than a
// long poll takes, the leases are extended by promises of the other homes.
constexpr Duration kPromiseAfter = std::chrono::milliseconds(1400);
// Links to other proxies that broke together with the one to the store work
// again by then.
constexpr Duration kSettledStoreAfter = std::chrono::milliseconds(3000);
constexpr Duration kPromiseTimeout = std::chrono::milliseconds(400);
// How long a promise to start no handover lasts. A proxy that can read the
// store may soon have to start one; one that cannot, can start none before it
// can.
constexpr Duration kPromiseLength = std::chrono::milliseconds(1500);
constexpr Duration kPromiseLengthWithoutStore = std::chrono::milliseconds(5000);
// While reads of the store fail, copies are requested without waiting for it,
// and most often during a failover.
constexpr Duration kUnavailableStoreStalenessLimit =
    std::chrono::milliseconds(700);
constexpr Duration kCopyInterval = std::chrono::milliseconds(500);
constexpr Duration kFailoverCopyInterval = std::chrono::milliseconds(100);
// How long a proxy behind a reader reads the store itself.
constexpr Duration kDirectReadPeriod = std::chrono::seconds(6);
// The pause after a failed read of the store grows with the number of members,
// to bound their total request rate, up to a part of the time in which a
// configuration must be in force.
constexpr Duration kStoreRetryInterval = std::chrono::milliseconds(250);
constexpr Duration kStoreRetryIntervalPerMember = std::chrono::milliseconds(10);
constexpr Duration kMaximumStoreRetryInterval = std::chrono::milliseconds(1500);
// Members that start at the same time each change the table. Pausing after a
// read that brought changes lets a few reads fetch all of them.
constexpr Duration kChangePausePerMember = std::chrono::milliseconds(1);
// A change of the targets must not be delayed much longer than one tick.
constexpr Duration kMaximumTargetsPause = std::chrono::milliseconds(100);
// The interval of the checks that depend on time alone.
constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr Duration kBusyTickInterval = std::chrono::milliseconds(20);
// In the check for isolation, a primary (or, without a home in this place, all
// other places together) counts as silent after this time without an answer.
constexpr Duration kUnreachableAfter = std::chrono::milliseconds(300);
constexpr Duration kMemberProbeInterval = std::chrono::milliseconds(150);
// Target entries that expired during an outage of the store are back within
// this time after it.
constexpr Duration kTargetsSettledAfter = std::chrono::milliseconds(3000);
// Callers stop opening sessions here about two seconds after the proxy reports
// that it is not ready; those whose sessions are closed earlier would reconnect
// to it.
constexpr Duration kIsolationCloseDelay = std::chrono::milliseconds(2300);
// The number of idle sessions that an isolated proxy closes per tick, limited
// so that their callers do not all reconnect at once.
constexpr size_t kSessionsClosedPerTick = 20;
// Allows the last answers and the deregistration to be sent before the process
// exits.
constexpr Duration kShutdownFlushDelay = std::chrono::milliseconds(100);

TableCache::Options CacheOptions(std::string table,
                                 Duration interval = kLongPollInterval) {
  TableCache::Options options;
  options.table = std::move(table);
  options.interval = interval;
  return options;
}

MemberRecord SelfRecord(const Gateway::Options& options) {
  MemberRecord self;
  self.address = options.peer_address;
  self.vm = options.vm;
  self.place = options.place;
  self.incarnation = options.incarnation;
  self.lease_length = kLeaseTerms.length;
  return self;
}

}  // namespace

Gateway::Gateway(Options options, Dependencies dependencies)
    : options(std::move(options)),
      dependencies(dependencies),
      random(this->options.random_seed),
      event_log(dependencies.scheduler),
      store(
          dependencies.store,
          dependencies.peers,
          [this] { return this->OtherMembers(); },
          this->options.random_seed + 2),
      configuration(
          dependencies.scheduler,
          dependencies.store,
          CacheOptions(dependencies.codec.configuration_table()),
          [this] { this->DidReadConfiguration(); },
          [this](TimePoint sent_at) { this->DidTimeOut(sent_at); }),
      targets(
          dependencies.scheduler,
          dependencies.store,
          CacheOptions(dependencies.codec.targets_table()),
          [this] { this->DidReadTargets(); },
          [this](TimePoint sent_at) { this->DidTimeOut(sent_at); }),
      coordination(
          dependencies.scheduler,
          dependencies.store,
          CacheOptions(std::string(CoordinationView::kTable),
                       kLeasePollInterval),
          [this] { this->DidReadCoordination(); },
          [this](TimePoint sent_at) { this->DidTimeOut(sent_at); }),
      refreshed_tables{{{&this->configuration, kLongPollLimits},
                        {&this->targets, kLongPollLimits},
                        {&this->coordination, kCoordinationLimits}}},
      table_copies(TableCopies::Context{
          dependencies.scheduler, this->configuration, this->targets,
          this->coordination,
          [this](const GroupName& group) {
            return this->FindDispatcher(group);
          },
          [this] { return this->PositionSampleCopies(); }, dependencies.codec}),
      leases(kLeaseTerms.length, kLeaseTerms.maximum_length),
      authorizer(this->routes, this->event_log),
      home_assignment(this->options.peer_address),
      home_chooser(this->options.place, this->options.random_seed + 3),
      usage(UsageService::Context{
          dependencies.scheduler, dependencies.peers, this->event_log,
          this->options.peer_address, this->options.place,
          [this] { return this->coordination.read_at(); },
          this->options.random_seed + 4}),
      relay_dialer(
          dependencies.scheduler,
          dependencies.peers,
          [this](const GroupName& group) { return this->LendersOf(group); },
          this->options.place,
          this->options.incarnation,
          this->options.random_seed + 1),
      loan_server(dependencies.scheduler,
                  [this](const GroupName& group) {
                    return this->FindDispatcher(group);
                  }),
      copy_server(dependencies.scheduler,
                  [this](const StoreCopyQuery& query) {
                    return this->table_copies.Make(query);
                  }),
      copy_poller(
          dependencies.scheduler,
          dependencies.peers,
          [this] { return this->table_copies.CachedVersions(); },
          [this](const StoreCopyAnswer& answer, TimePoint requested_at) {
            this->table_copies.Apply(answer, requested_at);
          }),
      forward_server(
          dependencies.scheduler,
          [this](const GroupName& group) -> RequestDispatcher* {
            return this->draining_since ? nullptr
                                        : this->FindHomeDispatcher(group);
          },
          [this](const GroupName& group) {
            return this->PrimarySilence(group);
          },
          [this] { return this->transaction_idle_limit(); }),
      registration(dependencies.scheduler,
                   this->store,
                   this->view,
                   SelfRecord(this->options)),
      watch(MemberWatch::Context{
          dependencies.scheduler, this->store, this->view, dependencies.peers,
          this->event_log, this->options.peer_address, this->options.place,
          [this] { return this->RegisteredGroups(); },
          [this] {
            const auto since = this->coordination.available_since();
            return this->can_read_store() && since &&
                   this->dependencies.scheduler.Now() - *since >
                       kSettledStoreAfter;
          }}),
      failover(FailoverAgent::Context{
          dependencies.scheduler, this->store, this->view, dependencies.peers,
          this->watch, dependencies.authority, this->event_log,
          this->options.vm, this->options.peer_address,
          this->options.incarnation, kLeaseTerms,
          [this] { return this->RegisteredGroups(); },
          [this](const GroupName& group) {
            return this->FindDispatcher(group);
          },
          [this](const GroupName& group) { return this->TargetsOf(group); },
          [this](const GroupName& group) {
            return this->UnlistedTargetsOf(group);
          },
          [this](const GroupName& group) {
            return this->SynchronousReplicasOf(group);
          },
          [this] { return this->is_directory_current(); },
          [this](const PrimaryRecord& record) {
            return this->StopPrimary(record);
          }}),
      roster_keeper(RosterKeeper::Context{
          dependencies.scheduler, this->store, this->view, this->event_log,
          this->options.peer_address,
          [this] { return this->RegisteredGroups(); },
          [this](const GroupName& group) {
            return this->FindDispatcher(group);
          },
          [this](const GroupName& group) { return this->TargetsOf(group); },
          [this](const GroupName& group) {
            return this->SynchronousReplicasOf(group);
          },
          [this] { return this->is_directory_current(); }}),
      drain_plan(this->options.drain_limit) {}

Gateway::~Gateway() = default;

void Gateway::Start() {
  this->configuration.Start();
  this->targets.Start();
  this->coordination.Start();
  this->Tick();
}

bool Gateway::is_ready() const {
  return this->routes.has_value() && !this->draining_since &&
         !this->isolation.is_isolated();
}

std::optional<Duration> Gateway::DrainElapsed() const {
  if (!this->draining_since)
    return std::nullopt;
  return this->dependencies.scheduler.Now() - *this->draining_since;
}

bool Gateway::accepts_sessions() const {
  const auto elapsed = this->DrainElapsed();
  return !elapsed ||
         (!this->has_drained && this->drain_plan.accepts_sessions(*elapsed));
}

bool Gateway::accepts_transactions() const {
  const auto elapsed = this->DrainElapsed();
  return !elapsed || (!this->has_drained &&
                      this->drain_plan.accepts_transactions(*elapsed));
}

bool Gateway::accepts_statement(const CallerRoute& route) const {
  const auto elapsed = this->DrainElapsed();
  return !elapsed ||
         (!this->has_drained && this->drain_plan.accepts_statement(
                                    *elapsed, route.statement_timeout));
}

Revision Gateway::revision() const {
  return this->routes ? this->routes->revision : Revision{};
}

tl::expected<std::unique_ptr<GatewaySession>, StatementError>
Gateway::OpenSession(CallerChannel& channel,
                     std::string_view database,
                     std::string_view key) {
  if (!this->authorizer.Identify(database, key)) {
    this->authorizer.DidRefuseSession();
    return tl::make_unexpected(
        StatementError{StatementErrorCode::kNotAuthorized, "unknown key"});
  }
  if (!this->FindRoute(database))
    return tl::make_unexpected(
        StatementError{StatementErrorCode::kNoDatabase, std::string(database)});
  const uint64_t number = this->next_session++;
  auto session = std::make_unique<GatewaySession>(
      this->dependencies.scheduler, *this, channel, std::string(database),
      std::string(key), number);
  this->sessions.emplace(number, SessionEntry{session.get(), &channel});
  return session;
}

void Gateway::DidCloseSession(const GatewaySession& session) {
  this->sessions.erase(session.number());
}

const CallerRoute* Gateway::FindRoute(std::string_view database) const {
  if (!this->routes)
    return nullptr;
  const auto found = this->routes->route_by_database.find(database);
  return found == this->routes->route_by_database.end() ? nullptr
                                                        : &found->second;
}

GroupDispatcher* Gateway::FindDispatcher(const GroupName& group) {
  const auto found = this->dispatchers.find(group);
  return found == this->dispatchers.end() || !this->home_groups.contains(group)
             ? nullptr
             : found->second.get();
}

GroupDispatcher* Gateway::FindHomeDispatcher(const GroupName& group) {
  return this->registration.registered_groups().contains(group)
             ? this->FindDispatcher(group)
             : nullptr;
}

RequestDispatcher* Gateway::FindRequestDispatcher(const GroupName& group) {
  RequestDispatcher* dispatcher = this->FindUnlimitedDispatcher(group);
  if (!dispatcher || !this->usage.is_active())
    return dispatcher;
  auto& limited = this->usage_limited_dispatchers[group];
  if (!limited)
    limited = std::make_unique<UsageLimitedDispatcher>(
        this->usage,
        [this, group] { return this->FindUnlimitedDispatcher(group); });
  return limited.get();
}

RequestDispatcher* Gateway::FindUnlimitedDispatcher(const GroupName& group) {
  if (GroupDispatcher* dispatcher = this->FindHomeDispatcher(group))
    return dispatcher;
  // A proxy that is not registered as a home yet queues requests itself only
  // while the group has no registered home.
  GroupDispatcher* dispatcher = this->FindDispatcher(group);
  if (dispatcher && this->home_assignment.HomesOf(group).empty())
    return dispatcher;
  const auto found = this->forwarding_dispatchers.find(group);
  return found == this->forwarding_dispatchers.end() ? nullptr
                                                     : found->second.get();
}

Duration Gateway::transaction_idle_limit() const {
  return this->routes ? this->routes->transaction_idle_limit
                      : RouteTable{}.transaction_idle_limit;
}

void Gateway::DidAnswerCaller(const CallerStatement& statement,
                              const StatementAnswer& answer,
                              TimePoint received_at) {
  const Duration elapsed = this->dependencies.scheduler.Now() - received_at;
  this->metrics.DidAnswer(answer, elapsed);
  if (!answer.error)
    return;
  this->event_log.Write(
      EventLog::Kind::kFailed,
      "event=answered_error request={} code={} message=\"{}\" "
      "elapsed_ms={}",
      statement.id, ToString(answer.error->code), answer.error->message,
      ToMilliseconds(elapsed));
}

void Gateway::DidTimeOut(TimePoint sent_at) {
  for (TableCache* cache :
       {&this->configuration, &this->targets, &this->coordination})
    cache->ReplaceConnectionFrom(sent_at);
}

void Gateway::DidReadConfiguration() {
  Result<RouteTable> decoded =
      this->dependencies.codec.DecodeRoutes(this->configuration.rows());
  if (!decoded) {
    if (decoded.error().code != ErrorCode::kNotFound)
      spdlog::error("event=configuration_unreadable error=\"{}\"",
                    decoded.error().message);
    return;
  }
  // An older revision never replaces a newer one.
  if (this->routes && decoded->revision <= this->routes->revision)
    return;
  spdlog::info(
      "event=configuration revision={} routes={} groups={} customers={} "
      "source={}",
      decoded->revision.value, decoded->route_by_database.size(),
      decoded->groups.size(), decoded->customers.declarations().size(),
      this->configuration.updated_from() == TableCache::Source::kStore
          ? "store"
          : "copy");
  this->routes = std::move(*decoded);
  this->usage.SetCustomers(this->routes->customers);
  this->UpdateAssignmentGroups();
  this->UpdateDispatchers();
  this->copy_server.DidRead();
  const auto open = this->sessions;
  for (const auto& [number, caller] : open) {
    if (this->sessions.contains(number))
      caller.session->DidChangeConfiguration();
  }
}

void Gateway::DidReadTargets() {
  const TimePoint now = this->dependencies.scheduler.Now();
  std::optional<Duration> available_for;
  if (const auto since = this->targets.available_since())
    available_for = now - *since;
  const bool is_changed =
      this->targets.last_changed_version() != this->published_targets_version;
  if (is_changed)
    this->decoded_targets =
        this->dependencies.codec.DecodeTargets(this->targets.rows());
  // Called even without a change: missing entries count as gone after a while.
  this->directory.DidRead(this->decoded_targets, available_for);
  this->UpdateAssignmentGroups();
  this->UpdateDispatchers();
  if (is_changed) {
    this->published_targets_version = this->targets.last_changed_version();
    this->copy_server.DidRead();
  }
}

void Gateway::DidReadCoordination() {
  const TimePoint now = this->dependencies.scheduler.Now();
  const bool is_changed = this->view.Update(this->coordination.rows(),
                                            *this->coordination.version(), now);
  if (is_changed || !this->home_assignment.has_read_members()) {
    this->home_assignment.DidReadMembers(this->view.members(), now);
    this->UpdateHomeAssignment();
    std::vector<UsageService::Member> members;
    for (const auto& [address, member] : this->view.members()) {
      if (!member.is_gone)
        members.push_back({address, member.incarnation, member.place});
    }
    this->usage.SetMembers(members);
  }
  this->leases.DidRead(this->view.primaries(), this->coordination.read_at(),
                       this->registration.registered_groups(), now);
  if (is_changed)
    this->UpdateDispatchers();
  for (auto& [group, dispatcher] : this->dispatchers)
    dispatcher->DidChangeLeases();
  this->copy_server.DidRead();
}

std::vector<TargetEntry> Gateway::TargetsOf(const GroupName& group) const {
  std::vector<TargetEntry> entries;
  for (const auto& [name, entry] : this->directory.targets()) {
    if (entry.group == group)
      entries.push_back(entry);
  }
  return entries;
}

std::vector<TargetEntry> Gateway::UnlistedTargetsOf(
    const GroupName& group) const {
  std::vector<TargetEntry> entries;
  if (this->SynchronousReplicasOf(group) == 0)
    return entries;
  for (const auto& [name, replica] : RosterKeeper::Unlisted(
           this->view.FindRoster(group), this->TargetsOf(group))) {
    TargetEntry entry;
    entry.name = name;
    entry.group = group;
    entry.address = replica.address;
    entry.place = replica.place;
    entry.state = TargetState::kUnlisted;
    entries.push_back(std::move(entry));
  }
  return entries;
}

int Gateway::SynchronousReplicasOf(const GroupName& group) const {
  if (!this->routes)
    return 0;
  const auto declared = this->routes->groups.find(group);
  return declared == this->routes->groups.end()
             ? 0
             : declared->second.synchronous_replicas;
}

ConnectionShares Gateway::SharesOf(const GroupName& group) const {
  const auto declared = this->routes->groups.find(group);
  return ConnectionShares(declared == this->routes->groups.end()
                              ? 0
                              : declared->second.maximum_connections);
}

std::vector<RelayDialer::Lender> Gateway::LendersOf(
    const GroupName& group) const {
  std::vector<RelayDialer::Lender> lenders;
  for (const Home& home : this->home_assignment.HomesOf(group)) {
    if (home.address != this->options.peer_address)
      lenders.push_back(RelayDialer::Lender{home.address, home.place});
  }
  return lenders;
}

size_t Gateway::ConnectionLimit(const GroupName& group) const {
  return this->SharesOf(group).LimitPerHome(
      this->home_assignment.HomesOf(group).size());
}

std::vector<GroupName> Gateway::RegisteredGroups() const {
  const std::set<GroupName> registered = this->registration.registered_groups();
  return std::vector<GroupName>(registered.begin(), registered.end());
}

Duration Gateway::PrimarySilence(const GroupName& group) const {
  if (this->home_groups.contains(group))
    return this->dispatchers.at(group)->PrimarySilence();
  const ForwardingDispatcher& forwarding =
      *this->forwarding_dispatchers.at(group);
  if (forwarding.has_home_in_own_place())
    return forwarding.PrimarySilence();
  return std::max(forwarding.PrimarySilence(),
                  this->watch.OtherPlacesSilence());
}

void Gateway::UpdateAssignmentGroups() {
  this->assignment_groups.clear();
  if (!this->routes)
    return;
  std::map<GroupName, std::set<PlaceName>> places_by_group;
  for (const auto& [target, entry] : this->directory.targets())
    places_by_group[entry.group].insert(entry.place);
  for (const auto& [name, declaration] : this->routes->groups)
    this->assignment_groups.push_back(HomeAssignment::Group{
        name, this->SharesOf(name), places_by_group[name]});
}

void Gateway::UpdateHomeAssignment() {
  if (!this->coordination.version())
    return;
  if (!this->routes || !this->targets.version()) {
    // A new member registers at once, since only members use the store readers
    // of their place. A restarted member is still registered and waits, since
    // it would otherwise write its row twice.
    if (!this->view.members().contains(this->options.peer_address))
      this->registration.Tick();
    return;
  }
  const TimePoint now = this->dependencies.scheduler.Now();
  std::set<GroupName> chosen =
      this->home_assignment.Choose(this->assignment_groups, now);
  // A coordinator must hear of this proxy's promises while they last, so the
  // proxy remains a home.
  if (now < this->failover.promised_until())
    chosen.insert(this->home_groups.begin(), this->home_groups.end());
  for (const GroupName& group : this->home_groups) {
    // A handover needs the connections of a home to finish.
    if (this->failover.has_handover(group))
      chosen.insert(group);
    if (chosen.contains(group))
      continue;
    // The lease must end before this proxy's row shows that a failover need not
    // wait for it.
    spdlog::info("event=home_role_ended group={}", group.value);
    this->leases.Release(group);
    this->dispatchers.at(group)->DidChangeLeases();
    this->dispatchers.at(group)->SetTargets({}, 0);
  }
  const bool is_changed = chosen != this->home_groups;
  this->home_groups = std::move(chosen);
  this->registration.SetHomeGroups(this->home_groups);
  this->registration.Tick();
  if (is_changed) {
    spdlog::info("event=home_roles count={} of={}", this->home_groups.size(),
                 this->routes->groups.size());
    this->UpdateDispatchers();
  }
}

void Gateway::UpdateDispatchers() {
  if (!this->routes)
    return;
  for (const auto& [group, declaration] : this->routes->groups) {
    auto& forwarding = this->forwarding_dispatchers[group];
    if (!forwarding)
      forwarding =
          std::make_unique<ForwardingDispatcher>(ForwardingDispatcher::Context{
              this->dependencies.scheduler, this->dependencies.peers,
              this->event_log, this->home_chooser, group, this->options.place,
              [this, group = group] {
                std::vector<Home> homes = this->home_assignment.HomesOf(group);
                std::erase_if(homes, [this](const Home& home) {
                  return home.address == this->options.peer_address;
                });
                return homes;
              },
              [this] { return this->isolation.is_isolated(); },
              this->options.incarnation + "." + group.value,
              this->options.zone_traffic});
    if (!this->home_groups.contains(group))
      continue;
    auto& dispatcher = this->dispatchers[group];
    if (!dispatcher)
      dispatcher = std::make_unique<GroupDispatcher>(
          this->dependencies.scheduler,
          TargetDialers{this->dependencies.dialer, this->relay_dialer},
          this->leases, this->event_log, group, this->options.place,
          this->options.target_drain_limit,
          ZoneTrafficOptions{this->options.zone_traffic,
                             this->options.random_seed});
    std::vector<TargetEntry> entries = this->TargetsOf(group);
    std::vector<TargetEntry> unlisted = this->UnlistedTargetsOf(group);
    entries.insert(entries.end(), unlisted.begin(), unlisted.end());
    dispatcher->SetTargets(entries, this->ConnectionLimit(group),
                           std::max(this->home_assignment.HomesOf(group).size(),
                                    this->SharesOf(group).HomeCount()));
  }
}

void Gateway::Tick() {
  this->UpdateHomeAssignment();
  for (const GroupName& group : this->home_groups)
    this->dispatchers.at(group)->Tick();
  this->watch.Tick();
  this->failover.Tick();
  this->roster_keeper.Tick();
  this->copy_server.Tick();
  this->usage.Tick();
  this->UpdateTableSources();
  this->RequestCopies();
  this->RequestPromises();
  this->TickIsolation();
  this->TickDrain();
  this->dependencies.scheduler.PostAfter(
      this->failover.is_active() ? kBusyTickInterval : kTickInterval,
      this->life.Wrap([this] { this->Tick(); }));
}

std::vector<std::string> Gateway::OtherMembers() const {
  std::vector<std::string> others;
  for (const auto& [address, member] : this->view.members()) {
    if (address != this->options.peer_address && !member.is_gone)
      others.push_back(address);
  }
  return others;
}

void Gateway::UpdateTableSources() {
  const TimePoint now = this->dependencies.scheduler.Now();
  std::vector<std::string> readers = ChooseStoreReaders(
      this->view.members(), this->options.place, this->options.peer_address);
  const bool has_readers = !readers.empty();
  this->copy_poller.SetReaders(std::move(readers));
  const bool is_any_copy_old =
      std::any_of(this->refreshed_tables.begin(), this->refreshed_tables.end(),
                  [now](const RefreshedTable& table) {
                    return now - table.cache->read_at() > table.limits.fallback;
                  });
  // A failover cannot proceed before it sees changes of the tables, so it reads
  // the store directly.
  const bool is_urgent = !this->copy_poller.has_responsive_reader() ||
                         is_any_copy_old || this->failover.is_active();
  if (has_readers && is_urgent)
    this->read_store_until = now + kDirectReadPeriod;
  const auto source = !has_readers || now < this->read_store_until
                          ? TableCache::Source::kStore
                          : TableCache::Source::kPeer;
  const Duration retry = std::clamp<Duration>(
      kStoreRetryIntervalPerMember * this->view.members().size(),
      kStoreRetryInterval, kMaximumStoreRetryInterval);
  for (TableCache* cache :
       {&this->configuration, &this->targets, &this->coordination}) {
    cache->SetRetryInterval(retry);
    cache->SetSource(source);
  }
  // Proxies that start together each write their row, and so do targets.
  const Duration pause = kChangePausePerMember * this->view.members().size();
  this->coordination.SetChangePause(pause);
  this->targets.SetChangePause(std::min(pause, kMaximumTargetsPause));
}

bool Gateway::needs_copy(const RefreshedTable& table) const {
  Duration limit = this->copy_poller.has_store_readers()
                       ? table.limits.behind_reader
                       : table.limits.reading_store;
  if (!table.cache->available_since())
    limit = this->failover.is_active() ? kFailoverCopyInterval
                                       : kUnavailableStoreStalenessLimit;
  return this->dependencies.scheduler.Now() - table.cache->read_at() >= limit;
}

void Gateway::RequestCopies() {
  const TimePoint now = this->dependencies.scheduler.Now();
  const Duration interval =
      this->failover.is_active() ? kFailoverCopyInterval : kCopyInterval;
  // One table may be read while another is not, so each counts by itself.
  const bool are_copies_current = std::none_of(
      this->refreshed_tables.begin(), this->refreshed_tables.end(),
      [this](const RefreshedTable& table) { return this->needs_copy(table); });
  if ((are_copies_current && this->routes.has_value()) ||
      now - this->copies_requested_at < interval)
    return;
  std::vector<std::string> others = this->OtherMembers();
  if (others.empty())
    others = this->options.seed_addresses;
  std::erase(others, this->options.peer_address);
  if (others.empty())
    return;
  this->copies_requested_at = now;
  const std::string& other = others.at(this->random.Below(others.size()));
  const auto age_ms = [now](const TableCache& cache) {
    return TableCopies::FormatAgeMs(cache, now);
  };
  this->event_log.Write(
      EventLog::Kind::kStateChange,
      "event=copies_requested other={} configuration_age_ms={} "
      "targets_age_ms={} coordination_age_ms={}",
      other, age_ms(this->configuration), age_ms(this->targets),
      age_ms(this->coordination));
  StoreCopyQuery query;
  query.versions = this->table_copies.CachedVersions();
  this->dependencies.peers.Ask(
      other, query, kCopyTimeout,
      this->life.Wrap([this, now](std::optional<PeerAnswer> answer) {
        if (!answer)
          return;
        if (const auto* copies = std::get_if<StoreCopyAnswer>(&*answer))
          this->table_copies.Apply(*copies, now);
      }));
}

bool Gateway::is_directory_current() const {
  const auto since = this->targets.available_since();
  return since &&
         this->dependencies.scheduler.Now() - *since > kTargetsSettledAfter;
}

bool Gateway::can_read_store() const {
  return this->dependencies.scheduler.Now() - this->coordination.read_at() <
         kPromiseAfter;
}

void Gateway::RequestPromises() {
  const TimePoint now = this->dependencies.scheduler.Now();
  const std::set<GroupName> groups = this->registration.registered_groups();
  // Reads do not renew a lease while the record is being recovered.
  const bool are_leases_renewed =
      this->can_read_store() &&
      std::none_of(groups.begin(), groups.end(),
                   [this](const GroupName& group) {
                     return this->view.FindRestoredPrimary(group) != nullptr;
                   });
  if (are_leases_renewed)
    return;
  std::vector<std::string> others;
  for (const auto& [address, member] : this->view.members()) {
    const std::set<GroupName>& home_of = member.home_of;
    const bool shares_group = std::any_of(
        groups.begin(), groups.end(),
        [&](const GroupName& group) { return home_of.contains(group); });
    if (address != this->options.peer_address && member.has_leases() &&
        shares_group)
      others.push_back(address);
  }
  for (const std::string& address : this->promises.TakeDue(others, now)) {
    this->dependencies.peers.Ask(
        address, PromiseQuery{}, kPromiseTimeout,
        this->life.Wrap([this, address, now](std::optional<PeerAnswer> answer) {
          if (!answer)
            return;
          if (const auto* promise = std::get_if<PromiseAnswer>(&*answer))
            this->DidReceivePromise(address, *promise, now);
        }));
  }
}

void Gateway::DidReceivePromise(const std::string& address,
                                const PromiseAnswer& answer,
                                TimePoint asked_at) {
  const TimePoint now = this->dependencies.scheduler.Now();
  this->promises.DidReceive(address, answer, asked_at);
  for (const GroupName& group : this->registration.registered_groups()) {
    const PrimaryRecord* record = this->leases.Find(group);
    if (!record || this->failover.has_handover(group))
      continue;
    const auto until = this->promises.PromisedUntil(group, record->version,
                                                    this->view.members(),
                                                    this->options.peer_address);
    if (!until)
      continue;
    const bool was_leased = this->leases.LeasedPrimary(group, now).has_value();
    this->leases.Extend(group, record->version, *until);
    GroupDispatcher* dispatcher = this->FindDispatcher(group);
    if (!was_leased && dispatcher)
      dispatcher->DidChangeLeases();
  }
}

PromiseAnswer Gateway::MakePromise() {
  PromiseAnswer answer;
  if (!this->registration.is_registered() || this->draining_since)
    return answer;
  const TimePoint now = this->dependencies.scheduler.Now();
  answer.incarnation = this->options.incarnation;
  answer.duration =
      this->can_read_store() ? kPromiseLength : kPromiseLengthWithoutStore;
  for (const auto& [group, record] : this->leases.records()) {
    if (record.state == PrimaryState::kServing &&
        !this->failover.has_handover(group))
      answer.version_by_group.emplace(group, record.version);
  }
  this->failover.DidPromise(now + answer.duration);
  return answer;
}

std::vector<PositionSampleCopy> Gateway::PositionSampleCopies() const {
  const TimePoint now = this->dependencies.scheduler.Now();
  std::vector<PositionSampleCopy> copies;
  for (const auto& [group, dispatcher] : this->dispatchers) {
    const auto newest = dispatcher->position_samples().newest_at();
    if (!newest)
      continue;
    const auto position =
        dispatcher->position_samples().PositionCovering(*newest, Term{});
    if (position)
      copies.push_back(PositionSampleCopy{group, *position, now - *newest});
  }
  return copies;
}

bool Gateway::StopPrimary(const PrimaryRecord& record) {
  const TimePoint now = this->dependencies.scheduler.Now();
  this->leases.DidRead(std::span<const PrimaryRecord>(&record, 1), now, {},
                       now);
  GroupDispatcher* dispatcher = this->FindDispatcher(record.group);
  if (!dispatcher)
    return true;
  const bool has_grace = now < this->leases.ExpiryOf(record.group);
  if (has_grace && dispatcher->active_primary_requests() > 0)
    return false;
  this->leases.Release(record.group);
  dispatcher->DidChangeLeases();
  return true;
}

ClosePrimaryAnswer Gateway::HandleClose(const ClosePrimaryQuery& query) {
  const PrimaryRecord* newest = this->leases.Find(query.record.group);
  Duration last_answer_age = Duration::max();
  if (const GroupDispatcher* dispatcher =
          this->FindDispatcher(query.record.group))
    last_answer_age = dispatcher->PrimaryAnswerAge();
  // The primary has been replaced or reopened since the query was sent.
  const bool has_stopped = newest && newest->version > query.record.version
                               ? newest->term > query.record.term
                               : this->StopPrimary(query.record);
  const Duration promised_for =
      this->failover.promised_until() - this->dependencies.scheduler.Now();
  return ClosePrimaryAnswer{has_stopped, last_answer_age,
                            std::max(promised_for, Duration(0))};
}

HealthAnswer Gateway::HandleHealth(const HealthQuery& query) {
  HealthAnswer answer;
  answer.incarnation = this->options.incarnation;
  if (!query.group.value.empty())
    answer.knowledge = this->failover.KnowledgeOf(query.group);
  // A proxy that is not a home sends no requests to a primary.
  answer.primary_answer_age = Duration::max();
  if (GroupDispatcher* dispatcher = this->FindDispatcher(query.group)) {
    answer.primary_silence = dispatcher->PrimarySilence();
    answer.primary_answer_age = dispatcher->PrimaryAnswerAge();
    answer.has_recent_replica_answer = dispatcher->has_recent_replica_answer();
  }
  return answer;
}

void Gateway::HandleQuery(const PeerQuery& query,
                          const PeerLinks::SendAnswer& send_answer) {
  if (const auto* copy = std::get_if<StoreCopyQuery>(&query))
    return this->copy_server.Handle(*copy, send_answer);
  if (const auto* close = std::get_if<ClosePrimaryQuery>(&query))
    return send_answer(this->HandleClose(*close));
  if (const auto* borrow = std::get_if<BorrowQuery>(&query))
    return this->loan_server.Handle(*borrow, send_answer);
  if (const auto* relay = std::get_if<RelayQuery>(&query))
    return this->loan_server.Handle(*relay, send_answer);
  if (const auto* returned = std::get_if<ReturnQuery>(&query))
    return this->loan_server.Handle(*returned, send_answer);
  if (const auto* forward = std::get_if<ForwardQuery>(&query))
    return this->forward_server.Handle(*forward, send_answer);
  if (const auto* next = std::get_if<ContinueQuery>(&query))
    return this->forward_server.Handle(*next, send_answer);
  if (const auto* end = std::get_if<RollbackQuery>(&query))
    return this->forward_server.Handle(*end, send_answer);
  if (std::holds_alternative<PromiseQuery>(query))
    return send_answer(this->MakePromise());
  if (const auto* tokens = std::get_if<UsageQuery>(&query))
    return this->usage.Handle(*tokens, send_answer);
  if (const auto* pool = std::get_if<UsagePoolQuery>(&query))
    return this->usage.Handle(*pool, send_answer);
  if (const auto* change = std::get_if<StoreChangeQuery>(&query))
    return this->store.Handle(*change, send_answer);
  send_answer(this->HandleHealth(std::get<HealthQuery>(query)));
}

void Gateway::Drain(std::function<void()> did_drain) {
  if (this->draining_since)
    return;
  spdlog::info("event=drain sessions={}", this->sessions.size());
  this->draining_since = this->dependencies.scheduler.Now();
  this->did_drain = std::move(did_drain);
  this->failover.Drain();
}

size_t Gateway::UnrenewableGroups() const {
  if (this->can_read_store())
    return 0;
  const TimePoint now = this->dependencies.scheduler.Now();
  size_t count = 0;
  for (const GroupName& group : this->registration.registered_groups()) {
    const PrimaryRecord* record = this->leases.Find(group);
    const auto until =
        record ? this->promises.PromisedUntil(group, record->version,
                                              this->view.members(),
                                              this->options.peer_address)
               : std::nullopt;
    if (!until || *until <= now)
      ++count;
  }
  return count;
}

void Gateway::TickIsolation() {
  const TimePoint now = this->dependencies.scheduler.Now();
  IsolationDetector::Observation observation;
  observation.last_answer_age = Duration::max();
  for (const auto& [group, forwarding] : this->forwarding_dispatchers) {
    ++observation.groups;
    if (this->PrimarySilence(group) > kUnreachableAfter)
      ++observation.silent_groups;
  }
  observation.unrenewable_groups = this->UnrenewableGroups();
  for (const auto& [address, member] : this->view.members()) {
    if (member.place == this->options.place || member.is_gone)
      continue;
    ++observation.remote_members;
    observation.last_answer_age = std::min(
        observation.last_answer_age, now - this->watch.LastAnswerAt(address));
  }
  const bool was_isolated = this->isolation.is_isolated();
  this->isolation.Observe(observation, now);
  if (was_isolated != this->isolation.is_isolated())
    spdlog::warn("event=isolation isolated={} silent_groups={} of={} others={}",
                 !was_isolated, observation.silent_groups, observation.groups,
                 observation.remote_members);
  if (this->isolation.should_probe() &&
      now - this->members_probed_at >= kMemberProbeInterval) {
    this->members_probed_at = now;
    this->watch.ProbeOtherPlaces();
  }
  // Once new sessions go to other proxies, idle sessions are better served
  // there too.
  if (this->isolation.is_isolated() &&
      now - *this->isolation.since() >= kIsolationCloseDelay)
    this->CloseIdleSessions(kSessionsClosedPerTick);
}

void Gateway::CloseIdleSessions(size_t maximum_count) {
  size_t closed = 0;
  const auto open = this->sessions;
  for (const auto& [number, caller] : open) {
    if (closed >= maximum_count)
      return;
    if (!this->sessions.contains(number) || !caller.session->can_close())
      continue;
    ++closed;
    caller.channel->Close();
  }
}

void Gateway::TickDrain() {
  const auto elapsed = this->DrainElapsed();
  if (!elapsed || this->has_drained)
    return;
  if (*elapsed >= this->drain_plan.reject_start()) {
    for (const auto& [number, caller] : this->sessions)
      caller.session->AbortIdleTransaction("the proxy is shutting down");
    this->forward_server.RollBackIdle();
  }
  this->CloseIdleSessions(this->drain_plan.SessionsToClose(
      this->sessions.size(), *elapsed, kTickInterval));
  const bool may_finish = *elapsed >= this->drain_plan.idle_close_start();
  const bool is_done = this->sessions.empty() &&
                       this->forward_server.is_idle() &&
                       this->loan_server.loan_count() == 0;
  if ((may_finish && is_done) || *elapsed >= this->drain_plan.deadline())
    this->FinishDrain();
}

void Gateway::FinishDrain() {
  spdlog::info("event=drained sessions_left={} forwarded_left={}",
               this->sessions.size(), this->forward_server.open_count());
  this->has_drained = true;
  // Answers every open statement before the process exits.
  const auto open = this->sessions;
  for (const auto& [number, caller] : open) {
    if (!this->sessions.contains(number))
      continue;
    caller.session->FailOutstanding();
    caller.channel->Close();
  }
  this->forward_server.FailOutstanding();
  this->leases.ReleaseAll(TimePoint::max());
  for (auto& [group, dispatcher] : this->dispatchers)
    dispatcher->DidChangeLeases();
  // A coordinator has to count the row of a proxy whose promises still last.
  this->registration.Deregister(this->dependencies.scheduler.Now() <
                                        this->failover.promised_until()
                                    ? MemberRegistration::Row::kMarkAsGone
                                    : MemberRegistration::Row::kRemove);
  this->dependencies.scheduler.PostAfter(
      kShutdownFlushDelay, this->life.Wrap([this] { this->did_drain(); }));
}

std::string Gateway::FormatMetrics() const {
  const TimePoint now = this->dependencies.scheduler.Now();
  std::string text = this->metrics.Format() + this->authorizer.FormatMetrics() +
                     this->usage.FormatMetrics();
  text += fmt::format(
      "kingcupmill_revision {}\nkingcupmill_sessions {}\n"
      "kingcupmill_store_silence_seconds {:.3f}\n"
      "kingcupmill_duty_held {}\n",
      this->revision().value, this->sessions.size(),
      std::chrono::duration<double>(now -
                                    this->coordination.store_answered_at())
          .count(),
      this->failover.coordinator_lease().is_held() ? 1 : 0);
  for (const auto& [table, cache] :
       {std::pair("configuration", &this->configuration),
        std::pair("targets", &this->targets),
        std::pair("coordination", &this->coordination)})
    text += fmt::format(
        "kingcupmill_table_age_seconds{{table=\"{}\"}} {:.3f}\n", table,
        std::chrono::duration<double>(now - cache->read_at()).count());
  for (const auto& [group, dispatcher] : this->dispatchers)
    text += FormatGroupMetrics(
        group, *dispatcher, this->leases.LeasedPrimary(group, now).has_value());
  return text;
}

}  // namespace kingcupmill
