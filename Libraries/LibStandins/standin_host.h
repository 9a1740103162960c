#ifndef LIBSTANDINS_STANDIN_HOST_H_
#define LIBSTANDINS_STANDIN_HOST_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibArrangement/arrangement.h"
#include "LibCore/error.h"
#include "LibStandins/platform_server.h"
#include "LibStandins/standin_network.h"
#include "LibStandins/standin_target.h"
#include "LibStandins/target_listener.h"
#include "LibWire/event_loop.h"

namespace kingcupmill {

// Runs a stand-in server for every target of an arrangement, and one for the
// platform. All of them listen on sockets and share one event loop.
class StandinHost {
 public:
  struct Options {
    StandinNetwork::Latencies latencies;
    Duration replica_lag = Duration(0);
    Duration connect_time = std::chrono::milliseconds(12);
    Duration service_time = Duration(300);
    // The address that the platform stand-in listens on, "IP:port".
    std::string platform_address;
  };

  // Listens on the addresses of the arrangement's targets. Fails when an
  // address is in use.
  static Result<std::unique_ptr<StandinHost>> Create(
      const Arrangement& arrangement,
      Options options);
  ~StandinHost();
  StandinHost(const StandinHost&) = delete;
  StandinHost& operator=(const StandinHost&) = delete;

  // Runs `task` on the host's event loop and waits until it has finished. The
  // methods below may be called only from such a task.
  void RunAndWait(const std::function<void()>& task);

  StandinNetwork& network() { return this->standin_network; }
  StandinTarget& target(const TargetName& name);
  PlatformServer& platform() { return *this->platform_server; }
  // Returns the name of the group's current primary, or an empty name if there
  // is none.
  TargetName PrimaryOf(const Group& group);

 private:
  explicit StandinHost(Options options);
  Result<void> Start(const Arrangement& arrangement);

  Options options;
  EventLoop loop;
  StandinNetwork standin_network;
  std::map<TargetName, std::unique_ptr<StandinTarget>> targets;
  std::vector<std::unique_ptr<TargetListener>> listeners;
  std::unique_ptr<PlatformServer> platform_server;
};

}  // namespace kingcupmill

#endif  // LIBSTANDINS_STANDIN_HOST_H_
