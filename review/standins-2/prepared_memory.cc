// Case: callers prepare one large statement after the other, and close each.
// Exits with 1 if proxies outgrow their machines again and again, 0 if the rule
// holds, 2 if the case could not run.

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "platform_standin.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// With its name, a statement stays below the limit of 1 MiB for a message, here
// and on the way to a server.
constexpr size_t kShapeBytes = 400'000;
constexpr int kCallersPerProxy = 1;
// `memory_mb` of the machines.
constexpr size_t kMemoryLimit = 260'000'000;
constexpr milliseconds kMemoryInterval{20};
constexpr seconds kRunTime{80};
// RULES, Fault: "processes end by themselves three times ... (memory over the
// limit counts)", on two machines at least.
constexpr int kOwnEnds = 3;
constexpr int kMachines = 2;

class Caller {
 public:
  Caller(std::pair<std::string, uint16_t> address, int number, bool is_rude)
      : address(std::move(address)), number(number), is_rude(is_rude) {}

  void Run(const std::atomic<bool>& is_over) {
    while (!is_over) {
      const int descriptor =
          review::Connect(this->address.first, this->address.second);
      if (descriptor >= 0) {
        review::Socket socket(descriptor);
        socket.SetTimeout(seconds(3));
        this->RunSession(socket, is_over);
      }
      std::this_thread::sleep_for(milliseconds(50));
    }
  }

  int executed = 0;

 private:
  void RunSession(review::Socket& socket, const std::atomic<bool>& is_over) {
    if (!socket.Write("STARTUP stock caller\r\n"))
      return;
    const auto greeting = socket.ReadLine();
    if (!greeting || !greeting->starts_with("READY"))
      return;
    while (!is_over) {
      // An ordinary caller prepares the same few statements again.
      const int kind = this->is_rude ? ++this->count : ++this->count % 5;
      std::string shape =
          "q" + std::to_string(this->number) + "." + std::to_string(kind) + ".";
      shape.resize(this->is_rude ? kShapeBytes : 40, 'x');
      if (!this->Ask(socket, "PREPARE s1 READ " + shape) ||
          !this->Ask(socket, "EXECUTE s1 item7") ||
          !this->Ask(socket, "CLOSE s1"))
        return;
      ++this->executed;
    }
  }

  // Returns whether the statement succeeded.
  bool Ask(review::Socket& socket, const std::string& text) {
    std::string query = "QUERY p" + std::to_string(this->number);
    query += "." + std::to_string(++this->sent) + " " + text + "\r\n";
    if (!socket.Write(query))
      return false;
    bool is_success = false;
    while (const auto line = socket.ReadLine()) {
      if (line->starts_with("READY"))
        return is_success;
      is_success = line->starts_with("COMPLETE");
    }
    return false;
  }

  std::pair<std::string, uint16_t> address;
  int number;
  bool is_rude;
  int count = 0;
  int sent = 0;
};

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
  deployment.log_statements = false;
  deployment.Start();
  std::this_thread::sleep_for(seconds(10));
  std::atomic<bool> is_over = false;
  std::vector<std::unique_ptr<Caller>> callers;
  std::vector<std::thread> threads;
  for (const auto& address : deployment.caller_addresses) {
    for (int index = 0; index < kCallersPerProxy; ++index)
      callers.push_back(std::make_unique<Caller>(
          address, static_cast<int>(callers.size()), has_trouble));
  }
  threads.reserve(callers.size());
  for (const auto& caller : callers)
    threads.emplace_back([&] { caller->Run(is_over); });
  const auto end = review::Clock::now() + kRunTime;
  int machines = 0;
  while (review::Clock::now() < end && machines < kMachines) {
    machines = 0;
    for (review::Proxy* proxy : deployment.proxies) {
      proxy->EnforceMemory(kMemoryLimit);
      machines += proxy->own_ends() >= kOwnEnds ? 1 : 0;
    }
    std::this_thread::sleep_for(kMemoryInterval);
  }
  is_over = true;
  for (std::thread& thread : threads)
    thread.join();
  deployment.Stop();
  int executed = 0;
  for (const auto& caller : callers)
    executed += caller->executed;
  for (const review::Proxy* proxy : deployment.proxies)
    record.Write("proxy peak_bytes=" + std::to_string(proxy->peak_bytes()) +
                 " ends=" + std::to_string(proxy->own_ends()));
  const bool is_broken = machines >= kMachines;
  const std::string verdict =
      "verdict executed=" + std::to_string(executed) +
      " machines_whose_process_ended_three_times=" + std::to_string(machines) +
      (is_broken ? " Fault=broken" : " Fault=held");
  record.Write(verdict);
  std::printf("%s\n", verdict.c_str());
  std::fflush(stdout);
  if (executed == 0)
    std::_Exit(2);
  std::_Exit(is_broken ? 1 : 0);
}
