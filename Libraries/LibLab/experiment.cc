#include "LibLab/experiment.h"

#include <chrono>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "LibArrangement/declaration_folder.h"
#include "LibConfiguration/publisher.h"
#include "LibLab/caller_session.h"
#include "LibMetrics/latency_summary.h"
#include "LibPlatform/http_platform_client.h"

namespace kingcupmill {

namespace {

constexpr const char* kSessionKey = "the lab's session key";
constexpr Duration kClientTimeout = std::chrono::seconds(30);
constexpr Duration kReadyTimeout = std::chrono::seconds(20);
constexpr Duration kReadyCheckInterval = std::chrono::milliseconds(20);
constexpr Duration kSettleTime = std::chrono::milliseconds(1500);
// Longer than the time within which a change must be in force on all proxies.
constexpr Duration kPropagationWait = std::chrono::seconds(8);
constexpr Duration kClockInterval = std::chrono::milliseconds(20);
constexpr size_t kClockSessionBase = 100'000;
constexpr size_t kProbeSession = 200'000;

// Sends one statement and returns whether it ran.
bool RunStatement(HttpClient& client,
                  const ApplicationName& application,
                  const nlohmann::json& body) {
  HttpRequest request;
  request.method = "POST";
  request.path = "/v1/statements";
  request.headers.push_back({"Kingcupmill-Application", application.value});
  request.body = body.dump();
  auto outcome = Capture([&] { return client.SendAndWait(request); });
  const auto* response = std::get_if<HttpResponse>(&outcome);
  return response && response->status == 200;
}

}  // namespace

Result<std::unique_ptr<Experiment>> Experiment::Create(
    ExperimentOptions options) {
  std::unique_ptr<Experiment> experiment(new Experiment(std::move(options)));
  KINGCUPMILL_RETURN_IF_ERROR(experiment->Start());
  return experiment;
}

Experiment::Experiment(ExperimentOptions options)
    : options(std::move(options)) {}

Experiment::~Experiment() = default;

Result<void> Experiment::Start() {
  KINGCUPMILL_TRY(files, ReadDeclarationFolder(this->options.declarations));
  std::vector<SettingError> errors;
  this->arrangement = ArrangementParser::Parse(files, errors);
  if (!errors.empty())
    return Fail(ErrorCode::kInvalidInput, FormatErrors(errors));
  uint16_t port = this->options.port_base;
  for (auto& [name, target] : this->arrangement.targets)
    target.address = "127.0.0.1:" + std::to_string(port++);
  StandinHost::Options host_options;
  host_options.replica_lag = this->options.replica_lag;
  host_options.platform_address = this->PlatformAddress();
  KINGCUPMILL_TRY_ASSIGN(this->standins,
                         StandinHost::Create(this->arrangement, host_options));
  KINGCUPMILL_RETURN_IF_ERROR(this->PublishArrangement());
  KINGCUPMILL_RETURN_IF_ERROR(this->StartProxies());
  KINGCUPMILL_RETURN_IF_ERROR(this->WaitUntilReady());
  KINGCUPMILL_RETURN_IF_ERROR(this->CreateTables());
  // Reads with a staleness bound may run on replicas that lag behind the
  // creation of the tables.
  std::this_thread::sleep_for(this->options.replica_lag +
                              this->options.staleness_bound);
  return {};
}

Result<void> Experiment::StartProxies() {
  auto port = static_cast<uint16_t>(this->options.port_base + 1000);
  std::vector<PlaceName> places;
  for (const auto& [name, place] : this->arrangement.places)
    places.push_back(name);
  for (size_t index = 0; index < this->options.vm_count; ++index) {
    ProxySettings settings;
    settings.options.vm.value = "vm-" + std::to_string(index + 1);
    settings.options.place = places[index % places.size()];
    settings.http_address = "127.0.0.1:" + std::to_string(port++);
    settings.peer_address = "127.0.0.1:" + std::to_string(port++);
    settings.session_key = kSessionKey;
    settings.platform_address = this->PlatformAddress();
    VmRecord record;
    record.name = settings.options.vm.value;
    record.place = settings.options.place;
    record.http_address = settings.http_address;
    record.peer_address = settings.peer_address;
    this->standins->RunAndWait([&] {
      this->standins->network().SetPlace(record.name, record.place);
      this->standins->platform().state().SetVm(record);
    });
    KINGCUPMILL_TRY(proxy, ProxyDaemon::Create(std::move(settings),
                                               this->options.seed + index));
    this->clients.push_back(std::make_unique<HttpClient>(
        proxy->settings().http_address, kClientTimeout));
    this->proxies.push_back(std::move(proxy));
  }
  return {};
}

std::string Experiment::PlatformAddress() const {
  return "127.0.0.1:" + std::to_string(this->options.port_base + 999);
}

Result<void> Experiment::PublishArrangement() {
  HttpPlatformClient client(this->PlatformAddress(), kReadyTimeout);
  Publisher<HttpPlatformClient> publisher(client);
  KINGCUPMILL_TRY(outcome,
                  publisher.Publish(WriteArrangement(this->arrangement),
                                    Revision{}, "lab-start", "lab"));
  if (outcome.kind == PublishOutcome::Kind::kConflict)
    return Fail(ErrorCode::kConflict, "the platform stand-in is not empty");
  return {};
}

std::vector<HttpClient*> Experiment::Clients() const {
  std::vector<HttpClient*> pointers;
  for (const auto& client : this->clients)
    pointers.push_back(client.get());
  return pointers;
}

ApplicationName Experiment::FirstApplication() const {
  return this->arrangement.applications.begin()->first;
}

Result<void> Experiment::WaitUntilReady() {
  HttpRequest request;
  request.method = "GET";
  request.path = "/admin/status";
  const TimePoint limit = MonotonicNow() + kReadyTimeout;
  for (const auto& client : this->clients) {
    uint64_t known = 0;
    while (known < this->options.vm_count) {
      if (MonotonicNow() > limit)
        return Fail(ErrorCode::kTimeout,
                    "the proxies did not become ready in time");
      KINGCUPMILL_TRY(response, client->SendAndWait(request));
      const auto status = nlohmann::json::parse(response.body);
      known = status.at("revision") > 0 ? status.at("known_vms").get<uint64_t>()
                                        : 0;
      std::this_thread::sleep_for(kReadyCheckInterval);
    }
  }
  return {};
}

Result<void> Experiment::CreateTables() {
  HttpClient& client = *this->clients.front();
  for (const auto& [group, declared] : this->arrangement.groups) {
    for (const char* table : kWorkloadTables) {
      const nlohmann::json body = {{"group", group.value},
                                   {"sql", table},
                                   {"repeatable", true},
                                   {"deadline_ms", 15'000}};
      if (!RunStatement(client, this->FirstApplication(), body)) {
        return Fail(ErrorCode::kUnavailable,
                    "the tables of " + group.value + " could not be created");
      }
    }
  }
  return {};
}

Result<ExperimentReport> Experiment::Run() {
  this->RunSessions();
  this->EndFault();
  std::this_thread::sleep_for(kSettleTime);
  return this->MakeReport();
}

uint64_t Experiment::SumControlBytes() {
  constexpr std::string_view kName = "\nkingcupmill_peer_control_bytes_total ";
  HttpRequest request;
  request.method = "GET";
  request.path = "/metrics";
  uint64_t sum = 0;
  for (const auto& client : this->clients) {
    auto outcome = Capture([&] { return client->SendAndWait(request); });
    const auto* response = std::get_if<HttpResponse>(&outcome);
    const size_t found =
        response ? response->body.find(kName) : std::string::npos;
    if (found != std::string::npos) {
      sum += static_cast<uint64_t>(
          std::strtod(response->body.c_str() + found + kName.size(), nullptr));
    }
  }
  return sum;
}

uint64_t Experiment::PlatformReads() {
  uint64_t reads = 0;
  this->standins->RunAndWait(
      [&] { reads = this->standins->platform().state().read_count(); });
  return reads;
}

Result<Duration> Experiment::MeasurePropagation() {
  Arrangement changed = this->arrangement;
  changed.applications.begin()->second.groups.resize(1);
  HttpPlatformClient platform(this->PlatformAddress(), kReadyTimeout);
  Publisher<HttpPlatformClient> publisher(platform);
  KINGCUPMILL_RETURN_IF_ERROR(publisher.Publish(
      WriteArrangement(changed), Revision{1}, "lab-change", "lab"));
  const TimePoint published_at = MonotonicNow();
  std::this_thread::sleep_for(kPropagationWait);
  HttpRequest request;
  request.method = "GET";
  request.path = "/admin/status";
  Duration slowest{0};
  for (const auto& client : this->clients) {
    KINGCUPMILL_TRY(response, client->SendAndWait(request));
    const TimePoint now = MonotonicNow();
    const auto status = nlohmann::json::parse(response.body);
    if (status.at("revision") != 2)
      return Fail(ErrorCode::kTimeout,
                  "a proxy does not have the published change in force");
    const Duration since =
        Milliseconds(status.at("in_force_since_ms").get<int64_t>());
    slowest = std::max(slowest, now - since - published_at);
  }
  return slowest;
}

Result<ControlCost> Experiment::MeasureControl() {
  const uint64_t bytes_before = this->SumControlBytes();
  const uint64_t reads_before = this->PlatformReads();
  const Duration processor_before = ProcessorTime();
  std::this_thread::sleep_for(this->options.duration);
  ControlCost cost;
  cost.vm_count = this->options.vm_count;
  cost.elapsed = this->options.duration;
  cost.processor = ProcessorTime() - processor_before;
  cost.platform_reads = this->PlatformReads() - reads_before;
  cost.control_bytes = this->SumControlBytes() - bytes_before;
  cost.resident_bytes = ResidentBytes();
  KINGCUPMILL_TRY_ASSIGN(cost.propagation_time, this->MeasurePropagation());
  return cost;
}

void Experiment::RunSessions() {
  const TimePoint end = MonotonicNow() + this->options.duration;
  std::vector<GroupName> groups;
  for (const auto& [name, group] : this->arrangement.groups)
    groups.push_back(name);
  std::vector<ApplicationName> applications;
  for (const auto& [name, application] : this->arrangement.applications)
    applications.push_back(name);
  std::vector<std::unique_ptr<CallerSession>> sessions;
  std::vector<std::thread> threads;
  for (size_t index = 0; index < this->options.session_count; ++index) {
    sessions.push_back(std::make_unique<CallerSession>(
        index + 1, groups[index % groups.size()],
        applications[index % applications.size()], this->Clients(),
        this->options));
    threads.emplace_back([this, session = sessions.back().get(), end] {
      this->RunSession(*session, end);
    });
  }
  for (size_t index = 0; index < groups.size(); ++index) {
    threads.emplace_back([this, group = groups[index], index, end] {
      this->RunClock(group, kClockSessionBase + index, end);
    });
  }
  std::this_thread::sleep_for(this->options.duration / 2);
  if (const auto gap = this->InjectPrimaryFault())
    this->gaps.push_back(*gap);
  for (std::thread& thread : threads)
    thread.join();
}

void Experiment::RunSession(CallerSession& session, TimePoint end) {
  std::vector<CallRecord> records;
  while (MonotonicNow() < end) {
    std::this_thread::sleep_for(session.NextPause());
    records.push_back(session.MakeCall());
  }
  const std::lock_guard lock(this->mutex);
  this->history.insert(this->history.end(), records.begin(), records.end());
}

void Experiment::RunClock(const GroupName& group,
                          size_t number,
                          TimePoint end) {
  HttpClient& client = *this->clients[number % this->clients.size()];
  std::vector<ClockTick> acknowledged;
  while (MonotonicNow() < end) {
    const int64_t value = MonotonicNow().time_since_epoch().count();
    const nlohmann::json body = {
        {"group", group.value},
        {"sql", "INSERT OR REPLACE INTO clock VALUES (1, ?)"},
        {"parameters", {value}},
        {"deadline_ms", 3000}};
    if (RunStatement(client, this->FirstApplication(), body))
      acknowledged.push_back({value, MonotonicNow()});
    std::this_thread::sleep_for(kClockInterval);
  }
  const std::lock_guard lock(this->mutex);
  this->ticks[group] = std::move(acknowledged);
}

std::optional<Duration> Experiment::InjectPrimaryFault() {
  if (this->options.fault == PrimaryFault::kNone)
    return std::nullopt;
  const GroupName& group_name = this->arrangement.groups.begin()->first;
  const Group& group = this->arrangement.groups.begin()->second;
  this->standins->RunAndWait([&] {
    this->faulty_target = this->standins->PrimaryOf(group);
    if (this->faulty_target.value.empty())
      return;
    switch (this->options.fault) {
      case PrimaryFault::kNone:
        return;
      case PrimaryFault::kKill:
        return this->standins->target(this->faulty_target).Kill();
      case PrimaryFault::kCut:
        return this->standins->network().IsolateNode(this->faulty_target.value);
      case PrimaryFault::kPause:
        return this->standins->network().Pause(this->faulty_target.value);
    }
  });
  const TimePoint fault_started_at = MonotonicNow();
  ExperimentOptions probe_options = this->options;
  CallerSession probe(kProbeSession, group_name, this->FirstApplication(),
                      this->Clients(), probe_options);
  std::vector<CallRecord> records;
  std::optional<Duration> gap;
  while (!gap && MonotonicNow() - fault_started_at < kReadyTimeout) {
    records.push_back(probe.Write());
    if (records.back().outcome == Outcome::kRan)
      gap = MonotonicNow() - fault_started_at;
  }
  const std::lock_guard lock(this->mutex);
  this->history.insert(this->history.end(), records.begin(), records.end());
  return gap;
}

void Experiment::EndFault() {
  if (this->faulty_target.value.empty())
    return;
  this->standins->RunAndWait([&] {
    this->standins->network().HealAll();
    this->standins->network().Resume(this->faulty_target.value);
    StandinTarget& target = this->standins->target(this->faulty_target);
    if (!target.member().is_running())
      target.Restart();
  });
}

std::map<GroupName, FinalState> Experiment::ReadFinalStates() {
  std::map<GroupName, FinalState> states;
  this->standins->RunAndWait([&] {
    for (const auto& [name, group] : this->arrangement.groups) {
      const TargetName primary = this->standins->PrimaryOf(group);
      if (primary.value.empty())
        continue;
      states[name] = ReadFinalState(
          this->standins->target(primary).member().visible_database(), primary);
    }
  });
  return states;
}

ExperimentReport Experiment::MakeReport() {
  ExperimentReport report;
  report.workload =
      std::filesystem::path(this->options.declarations).filename().string();
  LatencySummary reads;
  LatencySummary writes;
  for (const CallRecord& record : this->history) {
    ++report.requests.sent;
    report.requests.ran += record.outcome == Outcome::kRan ? 1 : 0;
    report.requests.not_run += record.outcome == Outcome::kNotRun ? 1 : 0;
    report.requests.unknown += record.outcome == Outcome::kUnknown ? 1 : 0;
    if (record.outcome != Outcome::kRan)
      ++report.reasons[record.message];
    const bool is_read = record.kind == CallKind::kSessionRead ||
                         record.kind == CallKind::kBoundedRead;
    const Duration latency = record.finished_at - record.started_at;
    if (is_read)
      reads.Observe(latency);
    else if (record.kind == CallKind::kWrite)
      writes.Observe(latency);
    if (!is_read || record.outcome != Outcome::kRan)
      continue;
    ++report.reads;
    report.replica_reads += record.is_from_primary ? 0 : 1;
  }
  report.read_p50 = reads.p50();
  report.read_p99 = reads.p99();
  report.write_p50 = writes.p50();
  report.write_p99 = writes.p99();
  report.failover_gaps = this->gaps;
  const HistoryChecker checker(this->ReadFinalStates(), this->ticks,
                               this->options.staleness_bound);
  report.violations = checker.Check(this->history);
  return report;
}

Result<void> WriteWholeFile(const std::string& path, const std::string& text) {
  std::ofstream stream(path, std::ios::binary | std::ios::trunc);
  stream << text;
  stream.close();
  if (!stream)
    return Fail(ErrorCode::kUnavailable, "cannot write " + path);
  return {};
}

}  // namespace kingcupmill
