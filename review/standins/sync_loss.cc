// A service with sync_replicas = 1. The replica that receives first is being
// released (draining) when the primary crashes. Checks LOST: every commit that
// was acknowledged before a promotion must be in the log of the promoted
// server.
#include "deployment.h"

using review::Commit;
using review::Deployment;
using review::NowMs;
using review::Server;
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
  options.sync = 1;
  options.lags_ms = {0, 5, 100};
  Deployment deployment(options);
  std::mutex mutex;
  std::set<std::string> promoted_log;
  std::string promoted;
  int64_t promoted_at = -1;
  deployment.group.did_promote = [&](const Server& server) {
    std::lock_guard<std::mutex> lock(mutex);
    if (promoted_at >= 0)
      return;
    promoted = server.id;
    promoted_at = NowMs();
    for (const Commit& commit : server.log)
      promoted_log.insert(commit.request);
  };
  if (!deployment.Start())
    return 2;
  std::vector<std::unique_ptr<Writer>> writers;
  for (size_t index = 0; index < 6; ++index) {
    writers.push_back(std::make_unique<Writer>(deployment, index, "dbp"));
    writers.back()->Start();
  }
  SleepMs(8000);
  if (has_trouble) {
    deployment.group.Drain("i-2");
    SleepMs(2000);
    deployment.group.Crash("i-1");
  } else {
    SleepMs(2000);
  }
  SleepMs(7000);
  for (const auto& writer : writers)
    writer->Stop();
  size_t acknowledged = 0;
  size_t lost = 0;
  std::lock_guard<std::mutex> lock(mutex);
  for (const auto& writer : writers) {
    for (const auto& [id, at] : writer->acknowledged) {
      ++acknowledged;
      if (promoted_at < 0 || at >= promoted_at || promoted_log.count(id))
        continue;
      ++lost;
      deployment.record.Line(
          "LOST: %s, acknowledged at %.3f, isn't in the log "
          "of %s when that is promoted",
          id.c_str(), static_cast<double>(at) / 1000.0, promoted.c_str());
    }
  }
  deployment.record.Line("acknowledged=%zu promoted=%s lost=%zu", acknowledged,
                         promoted.c_str(), lost);
  printf("acknowledged=%zu promoted=%s lost=%zu\n", acknowledged,
         promoted.c_str(), lost);
  fflush(stdout);
  for (const auto& proxy : deployment.proxies)
    proxy->Kill();
  if (acknowledged == 0 || (has_trouble && promoted_at < 0))
    _exit(2);
  _exit(lost > 0 ? 1 : 0);
}
