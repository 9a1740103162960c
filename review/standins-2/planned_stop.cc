// Case: a proxy is stopped as planned while callers receive large answers over
// links of 30 Mbit/s. Exits with 1 if an answer is cut off although its request
// had been passed on to a server, 0 if the rule holds, 2 if the case could not
// run.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "platform_standin.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Each row is one message, below the limit of 1 MiB.
constexpr size_t kRowBytes = 1'000'000;
constexpr int kRows = 4;
constexpr double kLinkBytesPerSecond = 30e6 / 8;
// A link with Ethernet's segments and a small window.
constexpr int kSegmentBytes = 1460;
constexpr int kWindowBytes = 64 * 1024;
constexpr int kCallers = 12;
constexpr size_t kReadBytes = 32768;
// `timeout_ms` of the route.
constexpr double kRouteTimeoutSeconds = 1.2;
constexpr seconds kCalmTime{4};
constexpr seconds kTimeAfterStop{8};

struct Cut {
  std::string id;
  double sent_at = 0;
  double elapsed = 0;
  size_t received = 0;
};

class Caller {
 public:
  Caller(review::Record& record,
         std::pair<std::string, uint16_t> address,
         int number)
      : record(record), address(std::move(address)), number(number) {}

  void Run(const std::atomic<bool>& is_over) {
    while (!is_over) {
      const int descriptor = this->Open();
      if (descriptor < 0) {
        std::this_thread::sleep_for(milliseconds(100));
        continue;
      }
      while (!is_over && this->Request(descriptor))
        std::this_thread::sleep_for(milliseconds(20 + 15 * this->number));
      close(descriptor);
    }
  }

  std::vector<Cut> cuts;
  int answered = 0;

 private:
  int Open() {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes,
               sizeof kSegmentBytes);
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kWindowBytes,
               sizeof kWindowBytes);
    timeval timeout{5, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(this->address.second);
    inet_pton(AF_INET, this->address.first.c_str(), &to.sin_addr);
    const std::string startup = "STARTUP stock caller\r\n";
    char greeting[256];
    const bool is_open =
        connect(descriptor, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0 &&
        send(descriptor, startup.data(), startup.size(), MSG_NOSIGNAL) > 0 &&
        recv(descriptor, greeting, sizeof greeting, 0) > 5 &&
        std::string(greeting, 5) == "READY";
    if (is_open)
      return descriptor;
    close(descriptor);
    return -1;
  }

  // Returns whether the session can go on.
  bool Request(int descriptor) {
    const std::string id = "c" + std::to_string(this->number) + "." +
                           std::to_string(++this->count);
    const std::string query = "QUERY " + id + " READ parcel\r\n";
    const auto sent = review::Clock::now();
    const double sent_at = this->record.Elapsed();
    send(descriptor, query.data(), query.size(), MSG_NOSIGNAL);
    size_t received = 0;
    std::string tail;
    std::vector<char> bytes(kReadBytes);
    for (;;) {
      const ssize_t count = recv(descriptor, bytes.data(), bytes.size(), 0);
      const double elapsed =
          std::chrono::duration<double>(review::Clock::now() - sent).count();
      if (count <= 0) {
        this->cuts.push_back({id, sent_at, elapsed, received});
        this->record.Write("cut id=" + id +
                           " after_s=" + std::to_string(elapsed) +
                           " bytes=" + std::to_string(received));
        return false;
      }
      received += static_cast<size_t>(count);
      tail.append(bytes.data(), static_cast<size_t>(count));
      tail.erase(0, tail.size() - std::min<size_t>(tail.size(), 200));
      if (tail.ends_with("\r\n") &&
          tail.find("\r\nREADY ") != std::string::npos)
        break;
      // An error without rows has its READY in the same piece.
      if (tail.starts_with("ERROR ") && tail.find("READY ") != tail.npos)
        break;
      const double due = static_cast<double>(received) / kLinkBytesPerSecond;
      if (due > elapsed)
        std::this_thread::sleep_for(
            std::chrono::duration<double>(due - elapsed));
    }
    const bool is_success = received > kRows * kRowBytes;
    this->answered += is_success ? 1 : 0;
    this->record.Write("answer id=" + id +
                       " bytes=" + std::to_string(received) +
                       (is_success ? " whole=yes" : " whole=no"));
    return true;
  }

  review::Record& record;
  std::pair<std::string, uint16_t> address;
  int number;
  int count = 0;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 4)
    return 2;
  const std::string folder = argv[1];
  const bool has_trouble = std::string(argv[3]) != "0";
  review::Record record(argv[2]);
  review::Deployment deployment(record, folder, [](const std::string&) {
    return std::vector<std::string>(kRows, std::string(kRowBytes, 'x'));
  });
  deployment.Start();
  std::this_thread::sleep_for(seconds(10));
  std::atomic<bool> is_over = false;
  std::vector<Caller> callers;
  callers.reserve(kCallers);
  for (int number = 0; number < kCallers; ++number)
    callers.emplace_back(record, deployment.caller_addresses.front(), number);
  std::vector<std::thread> threads;
  threads.reserve(callers.size());
  for (Caller& caller : callers)
    threads.emplace_back([&] { caller.Run(is_over); });
  std::this_thread::sleep_for(kCalmTime);
  if (has_trouble)
    deployment.proxies.front()->Signal(SIGTERM);
  std::this_thread::sleep_for(kTimeAfterStop);
  is_over = true;
  for (std::thread& thread : threads)
    thread.join();
  deployment.Stop();
  int answered = 0;
  int lost = 0;
  for (const Caller& caller : callers) {
    answered += caller.answered;
    for (const Cut& cut : caller.cuts) {
      // Rows were received, so a server has run the request.
      const bool is_lost =
          cut.received > 0 && cut.elapsed < kRouteTimeoutSeconds;
      lost += is_lost ? 1 : 0;
    }
  }
  const std::string verdict = "verdict answered=" + std::to_string(answered) +
                              " cut_after_their_run=" + std::to_string(lost) +
                              (lost > 0 ? " LOST=broken" : " LOST=held");
  record.Write(verdict);
  std::printf("%s\n", verdict.c_str());
  std::fflush(stdout);
  if (answered == 0)
    std::_Exit(2);
  std::_Exit(lost > 0 ? 1 : 0);
}
