// The primary is lost for good, and all proxies lose power 0.3 s later, for
// 3.5 s. Checks RECOVER: of the requests sent later than recovery_s (12 s)
// after the proxies are back, at least a quarter must be served.
#include "deployment.h"

using review::Deployment;
using review::NowMs;
using review::SleepMs;
using review::Writer;

int main(int argc, char** argv) {
  if (argc != 4)
    return 2;
  const bool has_trouble = std::string(argv[3]) != "0";
  Deployment::Options options;
  options.root = argv[1];
  options.folder = argv[2];
  options.record_path = std::string(argv[2]) + "/record.txt";
  options.lags_ms = {0, 20, 20};
  Deployment deployment(options);
  if (!deployment.Start())
    return 2;
  std::vector<std::unique_ptr<Writer>> writers;
  const char* const databases[] = {"dbp", "dbb", "dby"};
  for (size_t index = 0; index < 6; ++index) {
    writers.push_back(
        std::make_unique<Writer>(deployment, index, databases[index % 3]));
    writers.back()->Start();
  }
  SleepMs(8000);
  const int64_t fault_at = NowMs();
  if (has_trouble) {
    deployment.group.Crash("i-1");
    SleepMs(300);
    for (const auto& proxy : deployment.proxies)
      proxy->Kill();
    deployment.record.Line("all proxies lose power");
    SleepMs(3500);
    for (const auto& proxy : deployment.proxies)
      proxy->Start();
    deployment.record.Line("all proxies start again");
  }
  const int64_t back_at = NowMs();
  SleepMs(12000 + 5000);
  for (const auto& writer : writers)
    writer->Stop();
  int before_sent = 0, before_served = 0, after_sent = 0, after_served = 0;
  for (const auto& writer : writers)
    for (const auto& [second, counts] : writer->by_second) {
      if (second >= 4 && (second + 1) * 1000 <= fault_at) {
        before_sent += counts.first;
        before_served += counts.second;
      }
      if (second * 1000 >= back_at + 12000) {
        after_sent += counts.first;
        after_served += counts.second;
      }
    }
  deployment.record.Line(
      "before: %d of %d served; later than 12 s after the "
      "proxies were back: %d of %d served",
      before_served, before_sent, after_served, after_sent);
  printf("before %d of %d, after %d of %d\n", before_served, before_sent,
         after_served, after_sent);
  fflush(stdout);
  for (const auto& proxy : deployment.proxies)
    proxy->Kill();
  if (before_served * 4 < before_sent || before_sent == 0 || after_sent == 0)
    _exit(2);
  _exit(after_served * 4 < after_sent ? 1 : 0);
}
