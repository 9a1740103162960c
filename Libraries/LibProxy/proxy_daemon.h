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

// A complete proxy: a ProxyCore with its sockets, HTTP interfaces and control
// agent, running on its own event loop. All public members are thread-safe.
class ProxyDaemon {
 public:
  // Opens the sockets and starts serving requests. Fails if an address is
  // already in use or the session key is too short.
  static Result<std::unique_ptr<ProxyDaemon>> Create(ProxySettings settings,
                                                     uint64_t seed);
  ~ProxyDaemon();
  ProxyDaemon(const ProxyDaemon&) = delete;
  ProxyDaemon& operator=(const ProxyDaemon&) = delete;

  // Starts a graceful shutdown. is_drained() returns true once the process may
  // exit.
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
