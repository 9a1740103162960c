#ifndef LIBPROXY_PROXY_DAEMON_H_
#define LIBPROXY_PROXY_DAEMON_H_

#include <atomic>
#include <memory>

#include "LibCore/decision_log.h"
#include "LibCore/error.h"
#include "LibProxy/admin_interface.h"
#include "LibProxy/caller_interface.h"
#include "LibProxy/control_agent.h"
#include "LibProxy/http_platform_link.h"
#include "LibProxy/proxy_core.h"
#include "LibProxy/proxy_metrics.h"
#include "LibProxy/proxy_settings.h"
#include "LibProxy/socket_peer_network.h"
#include "LibProxy/socket_target_connector.h"
#include "LibWire/event_loop.h"
#include "LibWire/http_server.h"

namespace kingcupmill {

// One whole proxy with its sockets, on an event loop of its own. All public
// members may be called from any thread.
class ProxyDaemon {
 public:
  // Opens the sockets and starts to serve. Fails when an address is taken or
  // the session key is too short.
  static Result<std::unique_ptr<ProxyDaemon>> Create(ProxySettings settings,
                                                     uint64_t seed);
  ~ProxyDaemon();
  ProxyDaemon(const ProxyDaemon&) = delete;
  ProxyDaemon& operator=(const ProxyDaemon&) = delete;

  // Starts to drain; is_drained() turns true when the process may end.
  void StartDraining();
  bool is_drained() const { return this->drained; }

  const ProxySettings& settings() const { return this->proxy_settings; }

 private:
  ProxyDaemon(ProxySettings settings, TokenCodec codec, uint64_t seed);
  Result<void> Start();
  void HandleHttp(HttpRequest request, HttpServer::Reply reply);
  void HandleOnLoop(const HttpRequest& request, const HttpServer::Reply& reply);
  void Execute(ClientRequest request, Reply reply);
  void ContinueDraining(TimePoint limit);

  ProxySettings proxy_settings;
  DecisionLog log;
  EventLoop loop;
  SocketTargetConnector connector;
  SocketPeerNetwork peers;
  ProxyCore core;
  HttpPlatformLink platform;
  ControlAgent control;
  ProxyMetrics metrics;
  CallerInterface callers;
  AdminInterface admin;
  std::unique_ptr<HttpServer> http;
  std::atomic<bool> drained = false;
};

}  // namespace kingcupmill

#endif  // LIBPROXY_PROXY_DAEMON_H_
