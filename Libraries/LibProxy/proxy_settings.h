#ifndef LIBPROXY_PROXY_SETTINGS_H_
#define LIBPROXY_PROXY_SETTINGS_H_

#include <string>
#include <string_view>
#include <vector>

#include "LibProxy/proxy_options.h"
#include "LibToml/setting_error.h"

namespace kingcupmill {

// How log lines look.
enum class LogFormat { kText, kJson };

// The settings file of a proxy daemon.
struct ProxySettings {
  ProxyOptions options;
  // "IP:port" each.
  std::string http_address;
  std::string peer_address;
  std::string platform_address;
  // The secret that authenticates session tokens; equal on all proxies.
  std::string session_key;
  std::string log_level = "info";
  LogFormat log_format = LogFormat::kText;
  Duration platform_poll_interval = std::chrono::milliseconds(1000);
  Duration pulse_interval = std::chrono::milliseconds(1000);
  // Peer addresses for a start while the platform is down.
  std::vector<std::string> seed_peers;
  Duration platform_timeout = std::chrono::milliseconds(1500);
  // After SIGTERM: how long the balancer gets to notice, and how long open
  // transactions get to end.
  Duration drain_notice = std::chrono::milliseconds(1000);
  Duration drain_limit = std::chrono::milliseconds(10000);
  size_t maximum_body_bytes = 1U << 20U;
};

// Reads settings from TOML. Every error is added to `errors`.
ProxySettings ParseProxySettings(std::string_view text,
                                 const std::string& file,
                                 std::vector<SettingError>& errors);

}  // namespace kingcupmill

#endif  // LIBPROXY_PROXY_SETTINGS_H_
