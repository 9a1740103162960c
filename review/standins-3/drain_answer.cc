// Whether answers that are on their way to a client arrive whole when the proxy
// gets SIGTERM. Usage: drain_answer FOLDER RECORD COMMAND...
// TROUBLE=0 sends no SIGTERM.

#include <signal.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "deployment.h"
#include "reader.h"
#include "record.h"
#include "slow_link.h"

namespace {

using review::Deployment;
using review::Reader;
using review::Record;
using review::SlowLink;

// 28 Mbit/s; machines have 10 to 200 Mbit/s. An answer takes 1.09 s.
constexpr size_t kBytesPerSecond = 3'500'000;
// Each row is below the 1 MiB of a message.
constexpr const char* kItem = "rows-4-950000";
// Together 168 Mbit/s.
constexpr size_t kReaders = 6;
constexpr int kLossSlackMs = 200;
constexpr int kRulesEndMs = Deployment::kGraceSeconds * 1000 + 1000;

// Whether the rule LOST counts the request, for a SIGTERM at `signalled_at_ms`.
bool is_lost(Deployment& deployment,
             const Reader::Request& request,
             int64_t signalled_at_ms) {
  const int64_t open_ms = request.ended_at_ms - request.sent_at_ms;
  const bool is_around_stop =
      request.ended_at_ms >= signalled_at_ms &&
      request.ended_at_ms <= signalled_at_ms + kRulesEndMs;
  const bool counts = deployment.has_run(request.id) || open_ms > kLossSlackMs;
  return !request.is_complete && is_around_stop && counts &&
         open_ms < Deployment::kStatementTimeoutMs;
}

[[noreturn]] void Run(const std::string& folder,
                      const std::string& record_path,
                      const std::string& command) {
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = !trouble || std::string(trouble) != "0";
  Record record(record_path);
  Deployment deployment(record, {command, folder, 2});
  if (!deployment.WaitUntilServing()) {
    record.Write("the deployment does not serve");
    deployment.Finish(2);
  }
  std::vector<std::unique_ptr<SlowLink>> links;
  std::vector<std::unique_ptr<Reader>> readers;
  std::vector<std::thread> threads;
  for (size_t index = 0; index < kReaders; ++index) {
    links.push_back(
        std::make_unique<SlowLink>(deployment.front(0), kBytesPerSecond));
    readers.push_back(std::make_unique<Reader>(
        record, "reader" + std::to_string(index + 1), kItem));
    threads.emplace_back(
        [&, index] { readers[index]->Run(links[index]->address()); });
    std::this_thread::sleep_for(std::chrono::milliseconds(190));
  }
  std::this_thread::sleep_for(std::chrono::seconds(5));
  const int64_t signalled_at_ms = record.NowMs();
  if (has_trouble)
    deployment.Signal(0, SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(kRulesEndMs));
  const bool has_ended = deployment.has_ended(0);
  for (const auto& reader : readers)
    reader->Stop();
  for (std::thread& thread : threads)
    thread.join();
  size_t sent = 0;
  size_t complete = 0;
  size_t lost = 0;
  for (const auto& reader : readers) {
    for (const Reader::Request& request : reader->requests()) {
      ++sent;
      complete += request.is_complete ? 1 : 0;
      if (!is_lost(deployment, request, signalled_at_ms))
        continue;
      ++lost;
      record.Write("LOST: " + request.id + " was sent " +
                   std::to_string(request.sent_at_ms - signalled_at_ms) +
                   " ms after the SIGTERM and cut after " +
                   std::to_string(request.ended_at_ms - request.sent_at_ms) +
                   " ms with " + std::to_string(request.received_bytes) +
                   " bytes of its answer");
    }
  }
  record.Write("sent " + std::to_string(sent) + ", answered " +
               std::to_string(complete) + ", lost " + std::to_string(lost) +
               ", proxy 1 ended " + (has_ended ? "yes" : "no"));
  // The case has shown nothing if no answer came before the SIGTERM.
  if (complete < kReaders)
    deployment.Finish(2);
  deployment.Finish(lost > 0 ? 1 : 0);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 4) {
    std::fprintf(stderr, "usage: drain_answer FOLDER RECORD COMMAND...\n");
    return 2;
  }
  std::string command;
  for (int index = 3; index < argc; ++index)
    command += (index > 3 ? " " : "") + std::string(argv[index]);
  Run(argv[1], argv[2], command);
}
