#include "LibLab/chaos_run.h"

#include <algorithm>
#include <utility>

#include "LibConfiguration/change_record.h"
#include "LibLab/final_state.h"
#include "LibLab/history_checker.h"

namespace kingcupmill {

namespace {

constexpr Duration kStalenessBound = std::chrono::milliseconds(500);
constexpr Duration kSettleTime = std::chrono::seconds(15);
constexpr uint64_t kMaximumStepUs = 20'000;
constexpr uint64_t kFaultDurationRangeMs = 5000;
constexpr size_t kMaximumConcurrentFaults = 2;
constexpr uint64_t kFaultsPerThousandSteps = 12;
constexpr uint64_t kChangesPerThousandSteps = 3;

constexpr uint64_t kTargetFaultKinds = 9;
constexpr uint64_t kFaultKinds = kTargetFaultKinds + 3;

}  // namespace

ChaosRun::ChaosRun(Options options)
    : options(options), world([&] {
        VirtualWorld::Options world_options;
        world_options.seed = options.seed;
        world_options.disabled_safeguard = options.disabled_safeguard;
        return world_options;
      }()) {
  this->report.seed = options.seed;
}

ChaosRun::~ChaosRun() = default;

ChaosReport ChaosRun::Run() {
  this->CreateTables();
  std::vector<GroupName> groups;
  for (const auto& [name, group] : this->world.arrangement().groups)
    groups.push_back(name);
  for (size_t index = 0; index < this->options.session_count; ++index) {
    ChaosSession::Options session_options;
    session_options.number = index + 1;
    session_options.group = groups[index % groups.size()];
    session_options.staleness_bound = kStalenessBound;
    this->sessions.push_back(
        std::make_unique<ChaosSession>(this->world, session_options));
  }
  while (this->report.steps < this->options.steps)
    this->Step();
  this->EndAllFaults();
  this->world.scheduler().RunFor(kSettleTime);
  for (auto& session : this->sessions)
    session->ExpireCall();
  this->CheckRecovery();
  this->CheckHistory();
  return this->report;
}

bool ChaosRun::RunUntilAnswered(VirtualWorld::Proxy& proxy,
                                ClientRequest request) {
  std::optional<Outcome> outcome;
  proxy.core->Handle(
      std::move(request),
      [&outcome](const ClientAnswer& answer) { outcome = answer.outcome; });
  const TimePoint limit =
      this->world.scheduler().Now() + std::chrono::seconds(10);
  while (!outcome && this->world.scheduler().Now() < limit)
    this->world.scheduler().RunOne();
  return outcome == Outcome::kRan;
}

void ChaosRun::CreateTables() {
  this->world.scheduler().RunFor(std::chrono::seconds(3));
  uint64_t number = 0;
  for (const auto& [name, group] : this->world.arrangement().groups) {
    for (const char* table : kWorkloadTables) {
      ClientRequest request;
      request.operation = ClientOperation::kWrite;
      request.application = ApplicationName{"shop-orders"};
      request.group = name;
      request.request_id =
          RequestId{"shop-orders:table-" + std::to_string(++number)};
      request.statement = {table, {}};
      if (!this->RunUntilAnswered(*this->world.proxies().front(),
                                  std::move(request))) {
        this->ReportUnrecovered("a table could not be made");
      }
    }
  }
  this->world.scheduler().RunFor(std::chrono::seconds(1));
}

void ChaosRun::Step() {
  ++this->report.steps;
  VirtualScheduler& scheduler = this->world.scheduler();
  SeededRandom& random = this->world.random();
  for (auto& session : this->sessions)
    session->ExpireCall();
  ChaosSession& session = *this->sessions[random.Below(this->sessions.size())];
  if (!session.is_busy())
    session.StartCall();
  if (random.Below(1000) < kFaultsPerThousandSteps)
    this->StartFault();
  if (random.Below(1000) < kChangesPerThousandSteps)
    this->ChangeConfiguration();
  scheduler.RunFor(
      Duration(static_cast<int64_t>(random.Below(kMaximumStepUs))));
  this->EndFaults(scheduler.Now());
  this->CheckRevisions();
}

void ChaosRun::StartFault() {
  if (this->active_faults.size() >= kMaximumConcurrentFaults)
    return;
  SeededRandom& random = this->world.random();
  ActiveFault fault = this->MakeFault(random.Below(kFaultKinds));
  ++this->report.faults[fault.name];
  const auto milliseconds =
      static_cast<int64_t>(200 + random.Below(kFaultDurationRangeMs));
  fault.ends_at = this->world.scheduler().Now() + Milliseconds(milliseconds);
  this->active_faults.push_back(std::move(fault));
}

ChaosRun::ActiveFault ChaosRun::MakeFault(uint64_t choice) {
  if (choice < kTargetFaultKinds) {
    const std::vector<TargetName> names = this->world.TargetNames();
    TargetName target = names[this->world.random().Below(names.size())];
    // Half of the faults are directed at the primary, where a fault can violate
    // the most guarantees.
    const TargetName primary =
        this->world.PrimaryOf(this->world.arrangement().groups.begin()->first);
    if (!primary.value.empty() && this->world.random().Below(2) == 0)
      target = primary;
    return this->MakeTargetFault(choice, target);
  }
  if (choice == kTargetFaultKinds)
    return this->MakeProxyFault();
  return this->MakePlatformFault(choice - kTargetFaultKinds - 1);
}

ChaosRun::ActiveFault ChaosRun::MakeTargetFault(uint64_t choice,
                                                const TargetName& name) {
  StandinTarget& target = this->world.target(name);
  StandinNetwork& network = this->world.network();
  switch (choice) {
    case 0:
      if (target.member().is_running())
        target.Kill();
      return {"kill target", {}, [&target] {
                if (!target.member().is_running())
                  target.Restart();
              }};
    case 1:
      network.IsolateNode(name.value);
      return {"cut target", {}, [&network] { network.HealAll(); }};
    case 2: {
      const auto& places = this->world.places();
      const size_t first = this->world.random().Below(places.size());
      for (size_t other = 0; other < places.size(); ++other) {
        if (other != first)
          network.PartitionPlaces(places[first], places[other]);
      }
      return {"cut place", {}, [&network] { network.HealAll(); }};
    }
    case 3:
      network.Pause(name.value);
      return {
          "pause target", {}, [&network, name] { network.Resume(name.value); }};
    case 4:
      target.SilenceConnections();
      return {"silent connections", {}, [] {}};
    case 5:
      target.member().SetReplicaLag(Milliseconds(2000));
      return {"lagging replica", {}, [&target] {
                target.member().SetReplicaLag(Milliseconds(50));
              }};
    case 6:
      target.SetServiceTime(Milliseconds(40));
      return {"slow target", {}, [&target] {
                target.SetServiceTime(Duration(300));
              }};
    case 7:
      this->world.SetTargetState(name, VmState::kLeaving);
      return {"leaving target", {}, [this, name] {
                this->world.SetTargetState(name, VmState::kLive);
              }};
    default:
      this->world.answer_faults().duplicate_answers_per_mille = 200;
      return {"doubled answers", {}, [this] {
                this->world.answer_faults().duplicate_answers_per_mille = 0;
              }};
  }
}

ChaosRun::ActiveFault ChaosRun::MakeProxyFault() {
  const size_t index = this->world.random().Below(this->world.proxies().size());
  const PlaceName place = this->world.proxies()[index]->place;
  this->world.KillProxy(index);
  return {"kill proxy", {}, [this, place] { this->world.StartProxy(place); }};
}

ChaosRun::ActiveFault ChaosRun::MakePlatformFault(uint64_t choice) {
  auto& faults = this->world.platform_faults();
  if (choice == 0) {
    faults.is_down = true;
    return {"platform down", {}, [&faults] { faults.is_down = false; }};
  }
  faults.stale_head = this->head_before_change;
  return {"old head", {}, [&faults] { faults.stale_head = PlatformRow{}; }};
}

void ChaosRun::EndFaults(TimePoint now) {
  for (size_t index = 0; index < this->active_faults.size();) {
    if (this->active_faults[index].ends_at > now) {
      ++index;
      continue;
    }
    const auto end = std::move(this->active_faults[index].end);
    this->active_faults.erase(this->active_faults.begin() +
                              static_cast<ptrdiff_t>(index));
    end();
  }
}

void ChaosRun::EndAllFaults() {
  for (ActiveFault& fault : this->active_faults)
    fault.end();
  this->active_faults.clear();
}

void ChaosRun::ChangeConfiguration() {
  this->head_before_change = this->world.platform().ReadRow(kHeadKey);
  Arrangement changed = this->world.arrangement();
  const ApplicationName name{"extra-" +
                             std::to_string(this->world.random().Below(4))};
  if (changed.applications.erase(name) == 0) {
    Application application;
    application.groups = {changed.groups.begin()->first};
    changed.applications[name] = application;
  }
  this->world.Publish(changed);
}

void ChaosRun::CheckRevisions() {
  for (const auto& proxy : this->world.proxies()) {
    const RevisionName& in_force = proxy->control->tracker().in_force();
    Revision& seen = this->seen_revisions[proxy->vm];
    if (in_force.revision < seen)
      ++this->report.revision_violations;
    seen = std::max(seen, in_force.revision);
    if (in_force.revision.value == 0)
      continue;
    const auto [known, is_new] =
        this->published.emplace(in_force.revision, in_force.digest);
    if (known->second != in_force.digest)
      ++this->report.revision_violations;
  }
}

void ChaosRun::CheckRecovery() {
  auto head = Capture([&] {
    return DecodeChangeRecord(this->world.platform().ReadRow(kHeadKey).value);
  });
  const Revision newest = std::get<ChangeRecord>(head).revision;
  uint64_t number = 0;
  for (const auto& proxy : this->world.proxies()) {
    if (proxy->control->tracker().in_force().revision != newest)
      this->ReportUnrecovered(proxy->vm.value + " holds an old revision");
    this->report.promotions += proxy->core->promotion_count();
    for (const auto& [name, group] : this->world.arrangement().groups) {
      ClientRequest request;
      request.operation = ClientOperation::kWrite;
      request.application = ApplicationName{"shop-orders"};
      request.group = name;
      request.request_id =
          RequestId{"shop-orders:recovery-" + std::to_string(++number)};
      request.statement = {"INSERT INTO orders VALUES (0, ?, 0)",
                           {static_cast<int64_t>(number)}};
      if (!this->RunUntilAnswered(*proxy, std::move(request)))
        this->ReportUnrecovered(proxy->vm.value + " cannot write");
    }
  }
  this->world.scheduler().RunFor(std::chrono::seconds(5));
}

void ChaosRun::ReportUnrecovered(std::string detail) {
  ++this->report.unrecovered;
  this->report.details.push_back(std::move(detail));
}

void ChaosRun::CheckHistory() {
  std::map<GroupName, FinalState> states;
  for (const auto& [name, group] : this->world.arrangement().groups) {
    const TargetName primary = this->world.PrimaryOf(name);
    if (primary.value.empty()) {
      // Without a primary there is no final state to compare the history with.
      return this->ReportUnrecovered(name.value + " has no primary");
    }
    states[name] = ReadFinalState(
        this->world.target(primary).member().visible_database(), primary);
    for (const TargetName& member : group.targets) {
      const FinalState copy = ReadFinalState(
          this->world.target(member).member().visible_database(), member);
      if (copy.orders != states[name].orders ||
          copy.transfers != states[name].transfers) {
        const TargetStatus status =
            this->world.target(member).member().status();
        this->ReportUnrecovered(
            member.value + " differs from the primary: visible " +
            std::to_string(status.visible.value) + ", confirmed " +
            std::to_string(status.confirmed.position.value) + ", last " +
            std::to_string(status.last_entry.position.value));
      }
    }
  }
  std::map<GroupName, std::vector<ClockTick>> ticks;
  std::vector<CallRecord> history;
  for (const auto& session : this->sessions) {
    history.insert(history.end(), session->history().begin(),
                   session->history().end());
    auto& all = ticks[this->world.arrangement().groups.begin()->first];
    all.insert(all.end(), session->ticks().begin(), session->ticks().end());
  }
  for (auto& [name, group_ticks] : ticks) {
    std::sort(group_ticks.begin(), group_ticks.end(),
              [](const ClockTick& left, const ClockTick& right) {
                return left.acknowledged_at < right.acknowledged_at;
              });
    // Ticks may be acknowledged in any order. A read must see the highest value
    // acknowledged so far.
    int64_t highest = 0;
    for (ClockTick& tick : group_ticks) {
      highest = std::max(highest, tick.value);
      tick.value = highest;
    }
  }
  for (const CallRecord& record : history) {
    ++this->report.requests.sent;
    if (record.outcome == Outcome::kRan)
      ++this->report.requests.ran;
    else if (record.outcome == Outcome::kNotRun)
      ++this->report.requests.not_run;
    else
      ++this->report.requests.unknown;
  }
  const HistoryChecker checker(std::move(states), std::move(ticks),
                               kStalenessBound);
  this->report.violations = checker.Check(history);
}

}  // namespace kingcupmill
