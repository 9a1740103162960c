#include "LibLab/statement_cost.h"

#include <fmt/format.h>
#include <unistd.h>

#include <atomic>
#include <fstream>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

#include "LibMetrics/latency_summary.h"
#include "LibProxy/socket_target_connector.h"
#include "LibWire/event_loop.h"
#include "LibWire/http_client.h"

namespace kingcupmill {

namespace {

constexpr Duration kTimeout = std::chrono::seconds(5);
constexpr const char* kQuery = "SELECT 1";
// The number of fields in /proc/PID/stat before the user time.
constexpr int kFieldsBeforeUserTime = 13;

Duration ProcessorTimeOf(int64_t process) {
  std::ifstream stream("/proc/" + std::to_string(process) + "/stat");
  std::string skipped;
  for (int field = 0; field < kFieldsBeforeUserTime; ++field)
    stream >> skipped;
  int64_t user = 0;
  int64_t system = 0;
  stream >> user >> system;
  return Duration((user + system) * 1'000'000 / sysconf(_SC_CLK_TCK));
}

// Sends requests to a target and waits for each answer. Its methods are called
// from outside the event loop.
class DirectCaller {
 public:
  explicit DirectCaller(const std::string& address) : connector(this->loop) {
    Target target;
    target.address = address;
    this->connector.SetTargets({{TargetName{"target"}, target}});
    this->loop.Start();
  }
  ~DirectCaller() { this->loop.Stop(); }
  DirectCaller(const DirectCaller&) = delete;
  DirectCaller& operator=(const DirectCaller&) = delete;

  // Opens the connection. Returns whether the target answered the hello.
  bool Open() {
    std::promise<void> opened;
    this->loop.Post([&] {
      TargetConnectionHandlers handlers;
      handlers.did_open = [&] { opened.set_value(); };
      handlers.did_receive = [this](TargetResponse response) {
        this->answer->set_value(std::move(response));
      };
      this->connection =
          this->connector.Connect(TargetName{"target"}, std::move(handlers));
    });
    if (opened.get_future().wait_for(kTimeout) != std::future_status::ready)
      return false;
    TargetRequest hello;
    hello.operation = TargetOperation::kHello;
    hello.proposer = "lab";
    return this->Call(hello);
  }

  // Returns whether the request was answered without an error.
  bool Call(const TargetRequest& request) {
    this->answer = std::make_unique<std::promise<TargetResponse>>();
    auto future = this->answer->get_future();
    this->loop.Post([&] { this->connection->Send(request); });
    return future.wait_for(kTimeout) == std::future_status::ready &&
           future.get().error == TargetErrorCode::kNone;
  }

 private:
  EventLoop loop;
  SocketTargetConnector connector;
  std::shared_ptr<TargetConnection> connection;
  std::unique_ptr<std::promise<TargetResponse>> answer;
};

HttpRequest MakeRead(const StatementCostOptions& options) {
  HttpRequest request;
  request.method = "POST";
  request.path = "/v1/statements";
  request.headers.push_back(
      {"Kingcupmill-Application", options.application.value});
  request.body =
      nlohmann::json{{"group", options.group.value}, {"sql", kQuery}}.dump();
  return request;
}

Result<void> MeasureDirect(const StatementCostOptions& options,
                           StatementCost& cost) {
  DirectCaller caller(options.target);
  if (!caller.Open())
    return Fail(ErrorCode::kUnavailable, "the target does not answer");
  TargetRequest read;
  read.operation = TargetOperation::kRead;
  read.statements = {Statement{kQuery, {}}};
  LatencySummary latencies;
  for (size_t call = 0; call < options.sequential_calls; ++call) {
    const TimePoint started_at = MonotonicNow();
    if (!caller.Call(read))
      return Fail(ErrorCode::kUnavailable, "the target refused a read");
    latencies.Observe(MonotonicNow() - started_at);
  }
  cost.direct_p50 = latencies.p50();
  cost.direct_p99 = latencies.p99();
  return {};
}

Result<void> MeasureProxied(const StatementCostOptions& options,
                            StatementCost& cost) {
  HttpClient client(options.proxy, kTimeout);
  const HttpRequest read = MakeRead(options);
  LatencySummary latencies;
  for (size_t call = 0; call < options.sequential_calls; ++call) {
    const TimePoint started_at = MonotonicNow();
    KINGCUPMILL_TRY(response, client.SendAndWait(read));
    if (response.status != 200)
      return Fail(ErrorCode::kUnavailable, response.body);
    latencies.Observe(MonotonicNow() - started_at);
  }
  cost.proxied_p50 = latencies.p50();
  cost.proxied_p99 = latencies.p99();
  return {};
}

void MeasureThroughput(const StatementCostOptions& options,
                       StatementCost& cost) {
  const TimePoint started_at = MonotonicNow();
  const TimePoint end = started_at + options.duration;
  const Duration processor_before = ProcessorTimeOf(options.daemon_process);
  std::atomic<uint64_t> served = 0;
  std::vector<std::thread> threads;
  for (size_t index = 0; index < options.concurrency; ++index) {
    threads.emplace_back([&] {
      HttpClient client(options.proxy, kTimeout);
      const HttpRequest read = MakeRead(options);
      while (MonotonicNow() < end) {
        auto outcome = Capture([&] { return client.SendAndWait(read); });
        const auto* response = std::get_if<HttpResponse>(&outcome);
        served += response && response->status == 200 ? 1 : 0;
      }
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  const std::chrono::duration<double> elapsed = MonotonicNow() - started_at;
  const std::chrono::duration<double> processor =
      ProcessorTimeOf(options.daemon_process) - processor_before;
  const auto count = static_cast<double>(served.load());
  cost.proxied_per_second = count / elapsed.count();
  if (processor.count() > 0)
    cost.proxied_per_core_second = count / processor.count();
}

}  // namespace

Result<StatementCost> MeasureStatementCost(
    const StatementCostOptions& options) {
  StatementCost cost;
  KINGCUPMILL_RETURN_IF_ERROR(MeasureDirect(options, cost));
  KINGCUPMILL_RETURN_IF_ERROR(MeasureProxied(options, cost));
  MeasureThroughput(options, cost);
  return cost;
}

std::string FormatStatementCost(const StatementCost& cost) {
  return fmt::format(
      "direct p50 {} us, p99 {} us; proxied p50 {} us, p99 {} us; proxied "
      "{:.0f} "
      "statements/s, {:.0f} for each second of a core",
      cost.direct_p50.count(), cost.direct_p99.count(),
      cost.proxied_p50.count(), cost.proxied_p99.count(),
      cost.proxied_per_second, cost.proxied_per_core_second);
}

}  // namespace kingcupmill
