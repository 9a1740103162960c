#include "LibGateway/gateway.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "LibDispatch/open_transaction.h"
#include "LibDispatch/target_view.h"
#include "LibGateway/store_readers.h"
#include "LibStatement/error_names.h"

namespace kingcupmill {

namespace {

// How long a read of the store gives the right to use a primary. Longer leases
// bridge outages of the store; shorter ones end the wait for a proxy that does
// not answer.
constexpr Duration kLeaseLength = std::chrono::milliseconds(7500);
// Added to the wait for leases to run out, for timers that fire late.
constexpr Duration kLeaseSlack = std::chrono::milliseconds(300);
// Long polls renew leases, so they are a fraction of a lease.
constexpr Duration kFollowInterval = std::chrono::milliseconds(1800);
// Copies are asked from another proxy when the store has not answered for
// longer than a long poll takes.
constexpr Duration kCopyAfter = std::chrono::milliseconds(2500);
// Copies that come through a reader are older by one more long poll.
constexpr Duration kCopyAfterReaders = std::chrono::milliseconds(4100);
constexpr Duration kCopyAfterRefusal = std::chrono::milliseconds(700);
constexpr Duration kCopyInterval = std::chrono::milliseconds(500);
constexpr Duration kCopyIntervalInHandover = std::chrono::milliseconds(100);
constexpr Duration kCopyTimeout = std::chrono::milliseconds(600);
// A proxy reads the store itself when the copies that readers send are older
// than two long polls and a second, and for this long.
constexpr Duration kReaderPatience = std::chrono::milliseconds(4600);
constexpr Duration kDirectReading = std::chrono::seconds(6);
// The pause after a failed read of the store grows with the members, so that
// all together make a bounded number of calls.
constexpr Duration kStoreRetry = std::chrono::milliseconds(250);
constexpr Duration kStoreRetryPerMember = std::chrono::milliseconds(10);
// Members that start at the same moment change the table as often as there are
// members; a few reads take all of that.
constexpr Duration kChangePausePerMember = std::chrono::milliseconds(1);
// What is new of targets must not wait for much longer than a look.
constexpr Duration kLongestTargetsPause = std::chrono::milliseconds(100);
// Between two looks at what may have changed by time alone.
constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr Duration kBusyTickInterval = std::chrono::milliseconds(20);
// A primary, or all of the other places, that has been silent for longer counts
// as out of reach when the
// proxy asks itself whether it is cut off.
constexpr Duration kIsolatedSilence = std::chrono::milliseconds(300);
constexpr Duration kAskOthersInterval = std::chrono::milliseconds(150);
// Entries of targets that lapsed with the store are back by then.
constexpr Duration kDirectoryCertainAfter = std::chrono::milliseconds(3000);
// New sessions stop coming about two seconds after the proxy says that it is
// not ready; idle sessions closed before would come back here.
constexpr Duration kIsolationNotice = std::chrono::milliseconds(2300);
// Sessions at rest that a proxy which is cut off closes in one tick, so that
// their owners do not all reconnect at once.
constexpr size_t kSessionsClosedPerTick = 20;
// The last answers and the word to the store are on their way by then.
constexpr Duration kLastWords = std::chrono::milliseconds(100);

TableFollower::Options FollowOptions(std::string table) {
  TableFollower::Options options;
  options.table = std::move(table);
  options.interval = kFollowInterval;
  return options;
}

MemberRecord SelfRecord(const Gateway::Options& options) {
  MemberRecord self;
  self.address = options.peer_address;
  self.vm = options.vm;
  self.place = options.place;
  self.incarnation = options.incarnation;
  return self;
}

}  // namespace

Gateway::Gateway(Options options, Surroundings surroundings)
    : options(std::move(options)),
      around(surroundings),
      random(this->options.random_seed),
      journal(surroundings.scheduler),
      store(
          surroundings.store,
          surroundings.peers,
          [this] { return this->OtherMembers(); },
          this->options.random_seed + 2),
      configuration(surroundings.scheduler,
                    surroundings.store,
                    FollowOptions(surroundings.codec.configuration_table()),
                    [this] { this->DidReadConfiguration(); }),
      targets(surroundings.scheduler,
              surroundings.store,
              FollowOptions(surroundings.codec.targets_table()),
              [this] { this->DidReadTargets(); }),
      coordination(surroundings.scheduler,
                   surroundings.store,
                   FollowOptions(std::string(CoordinationView::kTable)),
                   [this] { this->DidReadCoordination(); }),
      leases(kLeaseLength),
      roles(this->options.peer_address),
      home_chooser(this->options.place, this->options.random_seed + 3),
      relay_dialer(
          surroundings.scheduler,
          surroundings.peers,
          [this](const GroupName& group) { return this->LendersOf(group); },
          this->options.place,
          this->options.incarnation,
          this->options.random_seed + 1),
      loan_desk(
          surroundings.scheduler,
          [this](const GroupName& group) { return this->FindGroup(group); }),
      copy_desk(
          surroundings.scheduler,
          [this](const CopyQuery& query) { return this->MakeCopies(query); }),
      copy_follower(
          surroundings.scheduler,
          surroundings.peers,
          [this] { return this->KnownVersions(); },
          [this](const CopyAnswer& answer, TimePoint asked_at) {
            this->TakeCopies(answer, asked_at);
          }),
      forward_desk(
          surroundings.scheduler,
          [this](const GroupName& group) -> GroupAccess* {
            return this->draining_since ? nullptr : this->FindHome(group);
          },
          [this](const GroupName& group) {
            return this->PrimarySilence(group);
          },
          [this] { return this->transaction_idle_limit(); }),
      registration(surroundings.scheduler,
                   this->store,
                   this->view,
                   SelfRecord(this->options)),
      watch(MemberWatch::Context{
          surroundings.scheduler, this->store, this->view, surroundings.peers,
          this->journal, this->options.peer_address, this->options.place,
          kLeaseLength + kLeaseSlack,
          [this] { return this->RegisteredGroups(); }}),
      failover(FailoverAgent::Context{
          surroundings.scheduler, this->store, this->view, surroundings.peers,
          this->watch, surroundings.authority, this->journal, this->options.vm,
          this->options.peer_address, this->options.incarnation,
          kLeaseLength + kLeaseSlack,
          [this] { return this->RegisteredGroups(); },
          [this](const GroupName& group) { return this->FindGroup(group); },
          [this](const GroupName& group) { return this->TargetsOf(group); },
          [this] {
            const auto steady = this->targets.steady_since();
            return steady && this->around.scheduler.Now() - *steady >
                                 kDirectoryCertainAfter;
          },
          [this](const PrimaryRecord& record) {
            return this->StopPrimary(record);
          }}),
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
  return this->around.scheduler.Now() - *this->draining_since;
}

bool Gateway::takes_sessions() const {
  const auto elapsed = this->DrainElapsed();
  return !elapsed ||
         (!this->has_drained && this->drain_plan.takes_sessions(*elapsed));
}

bool Gateway::takes_transactions() const {
  const auto elapsed = this->DrainElapsed();
  return !elapsed ||
         (!this->has_drained && this->drain_plan.takes_transactions(*elapsed));
}

bool Gateway::takes_statement(const CallerRoute& route) const {
  const auto elapsed = this->DrainElapsed();
  return !elapsed ||
         (!this->has_drained &&
          this->drain_plan.takes_statement(*elapsed, route.statement_timeout));
}

Revision Gateway::revision() const {
  return this->routes ? this->routes->revision : Revision{};
}

std::unique_ptr<GatewaySession> Gateway::OpenSession(
    CallerChannel& channel,
    std::string_view database) {
  if (!this->FindRoute(database))
    return nullptr;
  const uint64_t number = this->next_session++;
  auto session = std::make_unique<GatewaySession>(
      this->around.scheduler, *this, channel, std::string(database), number);
  this->sessions.emplace(number, OpenCaller{session.get(), &channel});
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

GroupDispatcher* Gateway::FindGroup(const GroupName& group) {
  const auto found = this->dispatchers.find(group);
  return found == this->dispatchers.end() || !this->home_groups.contains(group)
             ? nullptr
             : found->second.get();
}

GroupDispatcher* Gateway::FindHome(const GroupName& group) {
  return this->registration.registered_groups().contains(group)
             ? this->FindGroup(group)
             : nullptr;
}

GroupAccess* Gateway::FindAccess(const GroupName& group) {
  if (GroupDispatcher* dispatcher = this->FindHome(group))
    return dispatcher;
  // A proxy that is about to be a home queues work only while there is no other
  // home.
  GroupDispatcher* dispatcher = this->FindGroup(group);
  if (dispatcher && this->roles.HomesOf(group).empty())
    return dispatcher;
  const auto found = this->forwarding_groups.find(group);
  return found == this->forwarding_groups.end() ? nullptr : found->second.get();
}

Duration Gateway::transaction_idle_limit() const {
  return this->routes ? this->routes->transaction_idle_limit
                      : RouteTable{}.transaction_idle_limit;
}

void Gateway::DidAnswerCaller(const CallerStatement& statement,
                              const StatementAnswer& answer,
                              TimePoint received_at) {
  const Duration elapsed = this->around.scheduler.Now() - received_at;
  this->metrics.DidAnswer(answer, elapsed);
  if (!answer.error)
    return;
  this->journal.Write(EventJournal::Kind::kFailed,
                      "event=answered_error request={} code={} message=\"{}\" "
                      "elapsed_ms={}",
                      statement.id, ToString(answer.error->code),
                      answer.error->message, ToMilliseconds(elapsed));
}

void Gateway::DidReadConfiguration() {
  Result<RouteTable> decoded =
      this->around.codec.DecodeRoutes(this->configuration.rows());
  if (!decoded) {
    if (decoded.error().code != ErrorCode::kNotFound)
      spdlog::error("event=configuration_unreadable error=\"{}\"",
                    decoded.error().message);
    return;
  }
  // A configuration never goes back.
  if (this->routes && decoded->revision <= this->routes->revision)
    return;
  spdlog::info("event=configuration revision={} routes={} groups={}",
               decoded->revision.value, decoded->route_by_database.size(),
               decoded->groups.size());
  this->routes = std::move(*decoded);
  this->UpdateRoleGroups();
  this->UpdateDispatchers();
  this->copy_desk.DidRead();
}

void Gateway::DidReadTargets() {
  const TimePoint now = this->around.scheduler.Now();
  std::optional<Duration> steady_for;
  if (const auto since = this->targets.steady_since())
    steady_for = now - *since;
  const bool is_changed = this->targets.changed_version() != this->told_targets;
  if (is_changed)
    this->decoded_targets =
        this->around.codec.DecodeTargets(this->targets.rows());
  // Entries that are missing count as gone after a while, by time alone.
  this->directory.DidRead(this->decoded_targets, steady_for);
  this->UpdateRoleGroups();
  this->UpdateDispatchers();
  if (is_changed) {
    this->told_targets = this->targets.changed_version();
    this->copy_desk.DidRead();
  }
}

void Gateway::DidReadCoordination() {
  const TimePoint now = this->around.scheduler.Now();
  const bool is_changed = this->view.Update(this->coordination.rows(), now);
  if (is_changed || !this->roles.has_read_members()) {
    this->roles.DidReadMembers(this->view.members(), now);
    this->UpdateRoles();
  }
  this->leases.DidRead(this->view.primaries(), this->coordination.read_at(),
                       this->registration.registered_groups(), now);
  if (is_changed)
    this->UpdateDispatchers();
  for (auto& [group, dispatcher] : this->dispatchers)
    dispatcher->DidChangeLeases();
  this->copy_desk.DidRead();
}

std::vector<TargetEntry> Gateway::TargetsOf(const GroupName& group) const {
  std::vector<TargetEntry> entries;
  for (const auto& [name, entry] : this->directory.targets()) {
    if (entry.group == group)
      entries.push_back(entry);
  }
  return entries;
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
  for (const Home& home : this->roles.HomesOf(group)) {
    if (home.address != this->options.peer_address)
      lenders.push_back(RelayDialer::Lender{home.address, home.place});
  }
  return lenders;
}

size_t Gateway::LinkLimit(const GroupName& group) const {
  return this->SharesOf(group).LimitOfHome(this->roles.HomesOf(group).size());
}

std::vector<GroupName> Gateway::RegisteredGroups() const {
  const std::set<GroupName> registered = this->registration.registered_groups();
  return std::vector<GroupName>(registered.begin(), registered.end());
}

Duration Gateway::PrimarySilence(const GroupName& group) const {
  if (this->home_groups.contains(group))
    return this->dispatchers.at(group)->PrimarySilence();
  const ForwardingGroup& forwarding = *this->forwarding_groups.at(group);
  if (forwarding.has_home_here())
    return forwarding.PrimarySilence();
  return std::max(forwarding.PrimarySilence(),
                  this->watch.OtherPlacesSilence());
}

void Gateway::UpdateRoleGroups() {
  this->role_groups.clear();
  if (!this->routes)
    return;
  std::map<GroupName, std::set<PlaceName>> places_by_group;
  for (const auto& [target, entry] : this->directory.targets())
    places_by_group[entry.group].insert(entry.place);
  for (const auto& [name, declaration] : this->routes->groups)
    this->role_groups.push_back(
        HomeRoles::Group{name, this->SharesOf(name), places_by_group[name]});
}

void Gateway::UpdateRoles() {
  if (!this->coordination.version())
    return;
  if (!this->routes || !this->targets.version()) {
    // A new member follows the readers of its place rather than the store, so
    // it registers at once. One that came back would write its row twice.
    if (!this->view.members().contains(this->options.peer_address))
      this->registration.Tick();
    return;
  }
  std::set<GroupName> chosen =
      this->roles.Choose(this->role_groups, this->around.scheduler.Now());
  for (const GroupName& group : this->home_groups) {
    if (chosen.contains(group))
      continue;
    // The lease ends before the row says that nobody has to wait for it.
    spdlog::info("event=home_role_ended group={}", group.value);
    this->leases.Stop(group);
    this->dispatchers.at(group)->DidChangeLeases();
    this->dispatchers.at(group)->SetTargets({}, 0);
  }
  const bool is_changed = chosen != this->home_groups;
  this->home_groups = std::move(chosen);
  this->registration.SetHomeOf(this->home_groups);
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
    auto& forwarding = this->forwarding_groups[group];
    if (!forwarding)
      forwarding = std::make_unique<ForwardingGroup>(ForwardingGroup::Context{
          this->around.scheduler, this->around.peers, this->journal,
          this->home_chooser, group, this->options.place,
          [this, group = group] {
            std::vector<Home> homes = this->roles.HomesOf(group);
            std::erase_if(homes, [this](const Home& home) {
              return home.address == this->options.peer_address;
            });
            return homes;
          },
          [this] { return this->isolation.is_isolated(); },
          this->options.incarnation + "." + group.value});
    if (!this->home_groups.contains(group))
      continue;
    auto& dispatcher = this->dispatchers[group];
    if (!dispatcher)
      dispatcher = std::make_unique<GroupDispatcher>(
          this->around.scheduler,
          TargetDialers{this->around.dialer, this->relay_dialer}, this->leases,
          this->journal, group, this->options.place);
    dispatcher->SetTargets(this->TargetsOf(group), this->LinkLimit(group));
  }
}

void Gateway::Tick() {
  this->UpdateRoles();
  for (const GroupName& group : this->home_groups)
    this->dispatchers.at(group)->Tick();
  this->watch.Tick();
  this->failover.Tick();
  this->copy_desk.Tick();
  this->UpdateSource();
  this->AskForCopies();
  this->TickIsolation();
  this->TickDrain();
  this->around.scheduler.PostAfter(
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

void Gateway::UpdateSource() {
  const TimePoint now = this->around.scheduler.Now();
  std::vector<std::string> readers = ChooseStoreReaders(
      this->view.members(), this->options.place, this->options.peer_address);
  const bool has_readers = !readers.empty();
  this->copy_follower.SetReaders(std::move(readers));
  const Duration age = now - this->coordination.read_at();
  // A hand-over waits for what it reads.
  const bool is_urgent = !this->copy_follower.is_working() ||
                         age > kReaderPatience || this->failover.is_active();
  if (has_readers && is_urgent)
    this->direct_until = now + kDirectReading;
  const auto source = !has_readers || now < this->direct_until
                          ? TableFollower::Source::kStore
                          : TableFollower::Source::kPeer;
  const Duration retry = std::max<Duration>(
      kStoreRetry, kStoreRetryPerMember * this->view.members().size());
  for (TableFollower* follower :
       {&this->configuration, &this->targets, &this->coordination}) {
    follower->SetRetryInterval(retry);
    follower->SetSource(source);
  }
  // Proxies that start together all write their rows, and so do targets.
  const Duration pause = kChangePausePerMember * this->view.members().size();
  this->coordination.SetChangePause(pause);
  this->targets.SetChangePause(std::min(pause, kLongestTargetsPause));
}

void Gateway::AskForCopies() {
  const TimePoint now = this->around.scheduler.Now();
  // A store that is known to turn this proxy away is not waited for, least of
  // all in the middle of a hand-over.
  const bool is_turned_away = !this->coordination.steady_since().has_value();
  Duration patience =
      this->copy_follower.is_following() ? kCopyAfterReaders : kCopyAfter;
  if (is_turned_away)
    patience = this->failover.is_active() ? kCopyIntervalInHandover
                                          : kCopyAfterRefusal;
  const Duration interval =
      this->failover.is_active() ? kCopyIntervalInHandover : kCopyInterval;
  const bool is_current =
      now - this->coordination.read_at() < patience && this->routes.has_value();
  if (is_current || now - this->asked_for_copies_at < interval)
    return;
  std::vector<std::string> others = this->OtherMembers();
  if (others.empty())
    others = this->options.seed_addresses;
  std::erase(others, this->options.peer_address);
  if (others.empty())
    return;
  this->asked_for_copies_at = now;
  CopyQuery query;
  query.versions = this->KnownVersions();
  this->around.peers.Ask(
      others.at(this->random.Below(others.size())), query, kCopyTimeout,
      this->life.Wrap([this, now](std::optional<PeerAnswer> answer) {
        if (!answer)
          return;
        if (const auto* copies = std::get_if<CopyAnswer>(&*answer))
          this->TakeCopies(*copies, now);
      }));
}

std::vector<uint64_t> Gateway::KnownVersions() const {
  return {this->configuration.version().value_or(0),
          this->targets.version().value_or(0),
          this->coordination.version().value_or(0)};
}

CopyAnswer Gateway::MakeCopies(const CopyQuery& query) const {
  const TimePoint now = this->around.scheduler.Now();
  CopyAnswer answer;
  size_t index = 0;
  for (const auto& [name, follower] :
       {std::pair(this->around.codec.configuration_table(),
                  &this->configuration),
        std::pair(this->around.codec.targets_table(), &this->targets),
        std::pair(std::string(CoordinationView::kTable),
                  &this->coordination)}) {
    const uint64_t known =
        index < query.versions.size() ? query.versions[index] : 0;
    ++index;
    if (!follower->version())
      continue;
    TableCopy copy;
    copy.table = name;
    copy.version = *follower->version();
    copy.age = now - follower->read_at();
    if (const auto since = follower->steady_since())
      copy.steady_for = now - *since;
    copy.difference = follower->ChangesSince(known);
    answer.tables.push_back(std::move(copy));
  }
  for (const auto& [group, dispatcher] : this->dispatchers) {
    const auto newest = dispatcher->position_proofs().newest_at();
    if (!newest)
      continue;
    const auto position =
        dispatcher->position_proofs().Covering(*newest, Term{});
    if (position)
      answer.proofs.push_back(ProofCopy{group, *position, now - *newest});
  }
  return answer;
}

void Gateway::TakeCopies(const CopyAnswer& answer, TimePoint asked_at) {
  // The peer got the question after it was sent and held it for a while; the
  // ages in its answer count from the end of that.
  const TimePoint made_at = asked_at + answer.held;
  const std::map<std::string, TableFollower*> followers = {
      {this->around.codec.configuration_table(), &this->configuration},
      {this->around.codec.targets_table(), &this->targets},
      {std::string(CoordinationView::kTable), &this->coordination}};
  for (const TableCopy& copy : answer.tables) {
    const auto follower = followers.find(copy.table);
    if (follower == followers.end())
      continue;
    const TimePoint read_at = made_at - copy.age;
    std::optional<TimePoint> steady_since;
    if (copy.steady_for)
      steady_since = this->around.scheduler.Now() - *copy.steady_for;
    follower->second->DidHearOfStore(steady_since);
    if (copy.difference)
      follower->second->TakeCopy(*copy.difference, read_at);
    else
      follower->second->Confirm(copy.version, read_at);
  }
  for (const ProofCopy& proof : answer.proofs) {
    if (GroupDispatcher* dispatcher = this->FindGroup(proof.group))
      dispatcher->TakeProof(proof.position, made_at - proof.age);
  }
}

bool Gateway::StopPrimary(const PrimaryRecord& record) {
  const TimePoint now = this->around.scheduler.Now();
  this->leases.DidRead(std::span<const PrimaryRecord>(&record, 1), now, {},
                       now);
  GroupDispatcher* dispatcher = this->FindGroup(record.group);
  if (!dispatcher)
    return true;
  const bool has_grace = now < this->leases.EndOf(record.group);
  if (has_grace && dispatcher->open_primary_work() > 0)
    return false;
  this->leases.Stop(record.group);
  dispatcher->DidChangeLeases();
  return true;
}

CloseAnswer Gateway::HandleClose(const CloseQuery& query) {
  const PrimaryRecord* newest = this->leases.Find(query.record.group);
  // It has been replaced, or reopened, since the question was sent.
  Duration heard_age = Duration::max();
  if (const GroupDispatcher* dispatcher = this->FindGroup(query.record.group))
    heard_age = dispatcher->PrimaryHeardAge();
  if (newest && newest->version > query.record.version)
    return CloseAnswer{newest->term > query.record.term, heard_age};
  return CloseAnswer{this->StopPrimary(query.record), heard_age};
}

HealthAnswer Gateway::HandleHealth(const HealthQuery& query) {
  HealthAnswer answer;
  answer.incarnation = this->options.incarnation;
  // A proxy that is no home asks no primary, so it has heard none.
  answer.primary_heard_age = Duration::max();
  if (GroupDispatcher* dispatcher = this->FindGroup(query.group)) {
    answer.primary_silence = dispatcher->PrimarySilence();
    answer.primary_heard_age = dispatcher->PrimaryHeardAge();
    answer.hears_replicas = dispatcher->hears_replicas();
  }
  return answer;
}

void Gateway::HandleQuery(const PeerQuery& query,
                          const PeerLinks::Answer& answer) {
  if (const auto* copy = std::get_if<CopyQuery>(&query))
    return this->copy_desk.Handle(*copy, answer);
  if (const auto* close = std::get_if<CloseQuery>(&query))
    return answer(this->HandleClose(*close));
  if (const auto* borrow = std::get_if<BorrowQuery>(&query))
    return this->loan_desk.Handle(*borrow, answer);
  if (const auto* relay = std::get_if<RelayQuery>(&query))
    return this->loan_desk.Handle(*relay, answer);
  if (const auto* returned = std::get_if<ReturnQuery>(&query))
    return this->loan_desk.Handle(*returned, answer);
  if (const auto* forward = std::get_if<ForwardQuery>(&query))
    return this->forward_desk.Handle(*forward, answer);
  if (const auto* next = std::get_if<ContinueQuery>(&query))
    return this->forward_desk.Handle(*next, answer);
  if (const auto* end = std::get_if<EndQuery>(&query))
    return this->forward_desk.Handle(*end, answer);
  if (const auto* change = std::get_if<ChangeQuery>(&query))
    return this->store.Handle(*change, answer);
  answer(this->HandleHealth(std::get<HealthQuery>(query)));
}

void Gateway::Drain(std::function<void()> did_drain) {
  if (this->draining_since)
    return;
  spdlog::info("event=drain sessions={}", this->sessions.size());
  this->draining_since = this->around.scheduler.Now();
  this->did_drain = std::move(did_drain);
  this->failover.Leave();
}

void Gateway::TickIsolation() {
  const TimePoint now = this->around.scheduler.Now();
  IsolationWatch::Sight sight;
  sight.heard_age = Duration::max();
  for (const auto& [group, forwarding] : this->forwarding_groups) {
    ++sight.groups;
    if (this->PrimarySilence(group) > kIsolatedSilence)
      ++sight.silent_groups;
  }
  for (const auto& [address, member] : this->view.members()) {
    if (member.place == this->options.place || member.is_gone)
      continue;
    ++sight.others;
    sight.heard_age =
        std::min(sight.heard_age, now - this->watch.HeardAt(address));
  }
  const bool was_isolated = this->isolation.is_isolated();
  this->isolation.DidSee(sight, now);
  if (was_isolated != this->isolation.is_isolated())
    spdlog::warn("event=isolation isolated={} silent_groups={} of={} others={}",
                 !was_isolated, sight.silent_groups, sight.groups,
                 sight.others);
  if (this->isolation.should_ask() &&
      now - this->asked_others_at >= kAskOthersInterval) {
    this->asked_others_at = now;
    this->watch.AskOtherPlaces();
  }
  // Sessions at rest are better served by proxies that are not cut off, once
  // new sessions go there.
  if (this->isolation.is_isolated() &&
      now - *this->isolation.since() >= kIsolationNotice)
    this->CloseSessionsAtRest(kSessionsClosedPerTick);
}

void Gateway::CloseSessionsAtRest(size_t most) {
  size_t closed = 0;
  const auto open = this->sessions;
  for (const auto& [number, caller] : open) {
    if (closed >= most)
      return;
    if (!this->sessions.contains(number) || !caller.session->is_at_rest())
      continue;
    ++closed;
    caller.channel->Close();
  }
}

void Gateway::TickDrain() {
  const auto elapsed = this->DrainElapsed();
  if (!elapsed || this->has_drained)
    return;
  if (*elapsed >= this->drain_plan.middle()) {
    for (const auto& [number, caller] : this->sessions)
      caller.session->AbortTransaction("the proxy is shutting down");
    this->forward_desk.EndIdle();
  }
  this->CloseSessionsAtRest(this->drain_plan.SessionsToClose(
      this->sessions.size(), *elapsed, kTickInterval));
  const bool is_noticed = *elapsed >= this->drain_plan.notice();
  const bool is_done = this->sessions.empty() && this->forward_desk.is_idle() &&
                       this->loan_desk.loan_count() == 0;
  if ((is_noticed && is_done) || *elapsed >= this->drain_plan.end())
    this->FinishDrain();
}

void Gateway::FinishDrain() {
  spdlog::info("event=drained sessions_left={} forwarded_left={}",
               this->sessions.size(), this->forward_desk.open_count());
  this->has_drained = true;
  // Nothing ends without an answer.
  const auto open = this->sessions;
  for (const auto& [number, caller] : open) {
    if (!this->sessions.contains(number))
      continue;
    caller.session->GiveUp();
    caller.channel->Close();
  }
  this->forward_desk.GiveUp();
  this->leases.Drop(TimePoint::max());
  for (auto& [group, dispatcher] : this->dispatchers)
    dispatcher->DidChangeLeases();
  this->registration.Leave();
  this->around.scheduler.PostAfter(
      kLastWords, this->life.Wrap([this] { this->did_drain(); }));
}

std::string Gateway::FormatMetrics() const {
  const TimePoint now = this->around.scheduler.Now();
  std::string text = this->metrics.Format();
  text += fmt::format(
      "kingcupmill_revision {}\nkingcupmill_sessions {}\n"
      "kingcupmill_store_silence_seconds {:.3f}\n"
      "kingcupmill_duty_held {}\n",
      this->revision().value, this->sessions.size(),
      std::chrono::duration<double>(now -
                                    this->coordination.store_answered_at())
          .count(),
      this->failover.duty_lease().is_held() ? 1 : 0);
  for (const auto& [group, dispatcher] : this->dispatchers) {
    const auto lease = this->leases.ValidAt(group, now);
    text += fmt::format(
        "kingcupmill_lease_held{{group=\"{0}\"}} {1}\n"
        "kingcupmill_queue{{group=\"{0}\"}} {2}\n"
        "kingcupmill_connection_limit_refusals_total{{group=\"{0}\"}} {4}\n"
        "kingcupmill_primary_silence_seconds{{group=\"{0}\"}} {3:.3f}\n",
        group.value, lease ? 1 : 0, dispatcher->queue_length(),
        std::chrono::duration<double>(dispatcher->PrimarySilence()).count(),
        dispatcher->limit_refusals());
  }
  return text;
}

}  // namespace kingcupmill
