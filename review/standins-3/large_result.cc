// Whether proxies survive reads whose result has many rows. The stand-in for
// the platform kills a process that exceeds `memory_mb` and starts it again.
// Usage: large_result FOLDER RECORD COMMAND...
// TROUBLE=0 reads results of one row.

#include <signal.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>

#include "deployment.h"
#include "reader.h"
#include "record.h"

namespace {

using review::Deployment;
using review::Reader;
using review::Record;

// Any number of rows is allowed, and each is below the 1 MiB of a message.
constexpr const char* kLargeItem = "rows-120-1000000";
constexpr const char* kSmallItem = "rows-1-1000000";
constexpr size_t kProxies = 2;
// What the rule names: processes of two machines, three times in the day.
constexpr int kAllowedEnds = 3;
// An operation that only reads is tried again twice, at other nodes.
constexpr int kAttempts = 3;
constexpr int kOperations = 4;
constexpr std::chrono::milliseconds kWatchInterval(2);
constexpr std::chrono::seconds kPause(3);

// Kills processes over the limit and starts them again.
void Watch(Deployment& deployment, const std::atomic<bool>& is_over) {
  while (!is_over) {
    for (size_t proxy = 0; proxy < kProxies; ++proxy)
      deployment.EnforceMemory(proxy);
    std::this_thread::sleep_for(kWatchInterval);
  }
}

[[noreturn]] void Run(const std::string& folder,
                      const std::string& record_path,
                      const std::string& command) {
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = !trouble || std::string(trouble) != "0";
  Record record(record_path);
  Deployment deployment(record, {command, folder, kProxies});
  if (!deployment.WaitUntilServing()) {
    record.Write("the deployment does not serve");
    deployment.Finish(2);
  }
  std::atomic<bool> is_over = false;
  std::thread watch([&] { Watch(deployment, is_over); });
  size_t answered = 0;
  for (int operation = 0; operation < kOperations; ++operation) {
    for (int attempt = 0; attempt < kAttempts; ++attempt) {
      const auto turn = static_cast<size_t>(operation + attempt) % kProxies;
      Reader reader(record,
                    "client" + std::to_string(operation + 1) + "-try" +
                        std::to_string(attempt + 1),
                    has_trouble ? kLargeItem : kSmallItem);
      const auto request = reader.Run(deployment.front(turn));
      const bool is_success = request && request->is_success;
      answered += is_success ? 1 : 0;
      if (is_success)
        break;
    }
    std::this_thread::sleep_for(kPause);
  }
  is_over = true;
  watch.join();
  bool have_all_ended = true;
  int ends = 0;
  for (size_t proxy = 0; proxy < kProxies; ++proxy) {
    const int count = deployment.memory_ends(proxy);
    ends += count;
    have_all_ended = have_all_ended && count >= kAllowedEnds;
    record.Write("proxy " + std::to_string(proxy + 1) + " ended " +
                 std::to_string(count) + " times, peak " +
                 std::to_string(deployment.peak_kilobytes(proxy)) + " kB");
  }
  record.Write(std::to_string(kOperations) + " operations, " +
               std::to_string(answered) + " answered, " + std::to_string(ends) +
               " ends");
  if (!has_trouble && answered < static_cast<size_t>(kOperations))
    deployment.Finish(2);
  deployment.Finish(have_all_ended ? 1 : 0);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 4) {
    std::fprintf(stderr, "usage: large_result FOLDER RECORD COMMAND...\n");
    return 2;
  }
  std::string command;
  for (int index = 3; index < argc; ++index)
    command += (index > 3 ? " " : "") + std::string(argv[index]);
  Run(argv[1], argv[2], command);
}
