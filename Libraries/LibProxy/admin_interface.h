#ifndef LIBPROXY_ADMIN_INTERFACE_H_
#define LIBPROXY_ADMIN_INTERFACE_H_

#include <functional>
#include <string>
#include <string_view>

#include "LibCore/scheduler.h"
#include "LibWire/http_message.h"

namespace kingcupmill {

class ControlAgent;
class ProxyCore;
class ProxyMetrics;
class SocketPeerNetwork;
struct ProxySettings;

// The HTTP API for operators and the load balancer: /health, /metrics,
// /admin/status, /admin/explain and /admin/drain.
class AdminInterface {
 public:
  using StartDraining = std::function<void()>;

  AdminInterface(const Scheduler& scheduler,
                 const ProxySettings& settings,
                 const ProxyCore& core,
                 const ControlAgent& control,
                 const ProxyMetrics& metrics,
                 const SocketPeerNetwork& peers,
                 StartDraining start_draining);

  // Returns whether requests for `path` must be passed to Handle().
  static bool is_responsible(std::string_view path);

  HttpResponse Handle(const HttpRequest& request);

 private:
  HttpResponse Health() const;
  HttpResponse Metrics() const;
  HttpResponse Status() const;
  HttpResponse Explain(const HttpRequest& request) const;

  const Scheduler& scheduler;
  const ProxySettings& settings;
  const ProxyCore& core;
  const ControlAgent& control;
  const ProxyMetrics& metrics;
  const SocketPeerNetwork& peers;
  StartDraining start_draining;
};

}  // namespace kingcupmill

#endif  // LIBPROXY_ADMIN_INTERFACE_H_
