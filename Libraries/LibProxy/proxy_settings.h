#ifndef LIBPROXY_PROXY_SETTINGS_H_
#define LIBPROXY_PROXY_SETTINGS_H_

#include <string>
#include <string_view>
#include <vector>

#include "LibProxy/proxy_options.h"
#include "LibToml/setting_error.h"

namespace kingcupmill {

// The format of log lines.
enum class LogFormat { kText, kJson };

// The parsed settings file of a proxy daemon.
struct ProxySettings {
  ProxyOptions options;
  // Each address is "IP:port".
  std::string http_address;
  std::string peer_address;
  std::string platform_address;
  // The secret that authenticates session tokens; it must be the same on all
  // proxies.
  std::string session_key;
  std::string log_level = "info";
  LogFormat log_format = LogFormat::kText;
  Duration platform_poll_interval = std::chrono::milliseconds(1000);
  Duration heartbeat_interval = std::chrono::milliseconds(1000);
  // Addresses of peers to contact at startup, before the platform has returned
  // its VM list.
  std::vector<std::string> seed_peers;
  Duration platform_timeout = std::chrono::milliseconds(1500);
  // Graceful shutdown after SIGTERM: how long to wait for the load balancer to
  // see the failing health check, and how long open transactions may then take
  // to finish.
  Duration drain_notice = std::chrono::milliseconds(1000);
  Duration drain_limit = std::chrono::milliseconds(10000);
  size_t maximum_body_bytes = 1U << 20U;
};

// Parses settings from TOML and appends every error to `errors`. The settings
// may be used only if there was none. `file` is the name that errors refer to.
ProxySettings ParseProxySettings(std::string_view text,
                                 const std::string& file,
                                 std::vector<SettingError>& errors);

}  // namespace kingcupmill

#endif  // LIBPROXY_PROXY_SETTINGS_H_
