#ifndef REVIEW_STANDINS_3_DEPLOYMENT_H_
#define REVIEW_STANDINS_3_DEPLOYMENT_H_

#include <sys/types.h>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "database_server.h"
#include "platform.h"
#include "record.h"

namespace review {

// A small deployment: proxies as processes of their own, started with the
// command of the deploy file, before one service with a primary and two
// replicas.
class Deployment {
 public:
  struct Options {
    // The `run` words of the deploy file.
    std::string command;
    // Holds settings and logs.
    std::string folder;
    size_t proxies = 2;
  };
  // `timeout_ms` of the route.
  static constexpr int kStatementTimeoutMs = 1200;
  static constexpr int kGraceSeconds = 6;
  static constexpr size_t kMemoryMb = 260;
  static constexpr const char* kDatabase = "parcel-view";

  Deployment(Record& record, Options options);
  // Waits until a read through each proxy succeeds; returns whether all do.
  bool WaitUntilServing();
  const std::string& front(size_t proxy) const { return this->fronts[proxy]; }
  void Signal(size_t proxy, int signal);
  // Kills the proxies that still run and ends this process, whose threads may
  // still wait for connections.
  [[noreturn]] void Finish(int code);
  // Whether the proxy's process has ended.
  bool has_ended(size_t proxy);
  bool has_run(const std::string& request_id);
  // Does as the platform does with a process that exceeds `memory_mb`: kills it
  // and starts it again after a short delay.
  void EnforceMemory(size_t proxy);
  int memory_ends(size_t proxy) const { return this->ends[proxy]; }
  size_t peak_kilobytes(size_t proxy) const { return this->peaks[proxy]; }

 private:
  void Publish();
  pid_t Start(size_t proxy);

  Record& record;
  Options options;
  Platform platform;
  std::vector<std::unique_ptr<DatabaseServer>> servers;
  std::vector<std::string> fronts;
  std::vector<pid_t> processes;
  std::vector<int> ends;
  std::vector<size_t> peaks;
};

}  // namespace review

#endif  // REVIEW_STANDINS_3_DEPLOYMENT_H_
