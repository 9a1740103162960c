// Case: entries of another writer fill more than one page of the servers'
// table. Exits with 1 if proxies end by themselves again and again, 0 if the
// rule holds, 2 if the case could not run.

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>

#include "platform_standin.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Below the platform's `row_bytes` of 65,536.
constexpr size_t kEntryBytes = 64'000;
constexpr int kEntries = 18;
constexpr seconds kRunTime{30};
constexpr milliseconds kRequestInterval{250};
// RULES, Fault: "processes end by themselves three times", on two machines at
// least.
constexpr int kOwnEnds = 3;
constexpr int kMachines = 2;

// Bytes that are no JSON.
std::string MakeUnreadableValue() {
  std::string value;
  for (size_t index = 0; index < kEntryBytes; ++index)
    value += static_cast<char>(index % 2 == 0 ? 0x00 : 0xff);
  return value;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 4)
    return 2;
  const std::string folder = argv[1];
  const bool has_trouble = std::string(argv[3]) != "0";
  review::Record record(argv[2]);
  review::Deployment deployment(record, folder, [](const std::string& item) {
    return std::vector<std::string>{"row-" + item};
  });
  if (has_trouble) {
    const std::string value = MakeUnreadableValue();
    for (int index = 0; index < kEntries; ++index) {
      char key[32];
      std::snprintf(key, sizeof key, "old rack/%02d", index);
      deployment.store.Put("servers", key, value);
      record.Write(std::string("entry table=servers key=\"") + key +
                   "\" bytes=" + std::to_string(value.size()));
    }
  }
  deployment.Start();
  // Traffic starts 10 s after the machines do.
  std::this_thread::sleep_for(seconds(10));
  int number = 0;
  int answered = 0;
  const auto end = review::Clock::now() + kRunTime;
  while (review::Clock::now() < end) {
    for (const auto& address : deployment.caller_addresses) {
      const std::string id = "q" + std::to_string(++number);
      const bool is_write = number % 4 == 0;
      std::string text = is_write ? "WRITE item" : "READ item";
      text += std::to_string(number % 50);
      if (is_write)
        text += " data";
      const review::RequestOutcome outcome = review::SendRequest(
          address, is_write ? "orders" : "stock", id, text, seconds(3));
      const bool is_success = outcome.result.starts_with("COMPLETE r.");
      answered += is_success ? 1 : 0;
      std::string line = "request id=" + id;
      line += " text=\"" + text + "\"";
      line += outcome.is_connected ? " connected=yes" : " connected=no";
      line += " answer=\"" + outcome.result + "\"";
      record.Write(line);
    }
    std::this_thread::sleep_for(kRequestInterval);
  }
  int machines = 0;
  for (const review::Proxy* proxy : deployment.proxies)
    machines += proxy->own_ends() >= kOwnEnds ? 1 : 0;
  deployment.Stop();
  const bool is_broken = machines >= kMachines || answered == 0;
  const std::string verdict =
      "verdict requests=" + std::to_string(number) +
      " served=" + std::to_string(answered) +
      " machines_whose_process_ended_three_times=" + std::to_string(machines) +
      (is_broken ? " Fault=broken" : " Fault=held");
  record.Write(verdict);
  std::printf("%s\n", verdict.c_str());
  std::fflush(stdout);
  std::_Exit(is_broken ? 1 : 0);
}
