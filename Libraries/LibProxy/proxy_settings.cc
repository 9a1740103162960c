#include "LibProxy/proxy_settings.h"

#include <algorithm>
#include <array>

#include "LibToml/toml_section.h"

namespace kingcupmill {

namespace {

constexpr size_t kMinimumKeyBytes = 16;
constexpr std::array<std::string_view, 6> kLogLevels = {
    "trace", "debug", "info", "warn", "error", "off"};

void ParseLogSection(TomlSection log, ProxySettings& settings) {
  settings.log_level = log.String("level", settings.log_level);
  if (std::find(kLogLevels.begin(), kLogLevels.end(), settings.log_level) ==
      kLogLevels.end()) {
    log.AddError("level", "is not trace, debug, info, warn, error or off");
  }
  const std::string format = log.String("format", "text");
  if (format == "json")
    settings.log_format = LogFormat::kJson;
  else if (format != "text")
    log.AddError("format", "is neither \"text\" nor \"json\"");
  log.RejectUnknownKeys();
}

void ParseReadsSection(TomlSection reads, ReadRouter::Options& router) {
  router.replica_wait_limit = reads.DurationInMilliseconds(
      "replica_wait_limit_ms", router.replica_wait_limit, {0, 10'000});
  router.primary_slot_cost = reads.DurationInMilliseconds(
      "primary_slot_cost_ms", router.primary_slot_cost, {0, 10'000});
  router.age_margin = reads.DurationInMilliseconds(
      "age_margin_ms", router.age_margin, {0, 1'000});
  reads.RejectUnknownKeys();
}

void ParseFailoverSection(TomlSection failover, GroupOptions& group) {
  PromoterOptions& promoter = group.promoter;
  group.probe_interval = failover.DurationInMilliseconds(
      "probe_interval_ms", group.probe_interval, {10, 10'000});
  promoter.silence.floor = failover.DurationInMilliseconds(
      "silence_floor_ms", promoter.silence.floor, {50, 10'000});
  promoter.silence.ceiling = failover.DurationInMilliseconds(
      "silence_ceiling_ms", promoter.silence.ceiling, {100, 60'000});
  promoter.unreachable_limit = failover.DurationInMilliseconds(
      "unreachable_limit_ms", promoter.unreachable_limit, {100, 60'000});
  promoter.rank_delay = failover.DurationInMilliseconds(
      "rank_delay_ms", promoter.rank_delay, {0, 10'000});
  const Duration window = failover.DurationInMilliseconds(
      "confirmation_window_ms", group.admission.confirmation_window,
      {50, 10'000});
  group.admission.confirmation_window = window;
  group.router.confirmation_window = window;
  failover.RejectUnknownKeys();
}

void ParseConnectionsSection(TomlSection connections, ProxyOptions& options) {
  options.home_count = static_cast<size_t>(connections.Integer(
      "home_count", static_cast<int64_t>(options.home_count), {1, 1'000}));
  options.maximum_work_connections = static_cast<size_t>(connections.Integer(
      "maximum_work_connections",
      static_cast<int64_t>(options.maximum_work_connections), {1, 1'000}));
  options.group.pool.attempt_timeout = connections.DurationInMilliseconds(
      "attempt_timeout_ms", options.group.pool.attempt_timeout, {10, 60'000});
  options.group.pool.maximum_queue = static_cast<size_t>(connections.Integer(
      "maximum_queue", static_cast<int64_t>(options.group.pool.maximum_queue),
      {1, 1'000'000}));
  options.group.transaction_idle_limit = connections.DurationInMilliseconds(
      "transaction_idle_limit_ms", options.group.transaction_idle_limit,
      {100, 600'000});
  connections.RejectUnknownKeys();
}

void ParseDrainSection(TomlSection drain, ProxySettings& settings) {
  settings.drain_notice = drain.DurationInMilliseconds(
      "notice_ms", settings.drain_notice, {0, 600'000});
  settings.drain_limit = drain.DurationInMilliseconds(
      "limit_ms", settings.drain_limit, {0, 600'000});
  drain.RejectUnknownKeys();
}

}  // namespace

ProxySettings ParseProxySettings(std::string_view text,
                                 const std::string& file,
                                 std::vector<SettingError>& errors) {
  ProxySettings settings;
  TomlSection root = TomlSection::Parse(text, file, errors);
  settings.options.vm.value = root.RequiredString("vm");
  settings.options.place.value = root.RequiredString("place");
  settings.http_address = root.RequiredString("http_address");
  settings.peer_address = root.RequiredString("peer_address");
  settings.platform_address = root.RequiredString("platform_address");
  settings.session_key = root.RequiredString("session_key");
  if (!settings.session_key.empty() &&
      settings.session_key.size() < kMinimumKeyBytes) {
    root.AddError("session_key", "is shorter than 16 bytes");
  }
  settings.platform_poll_interval = root.DurationInMilliseconds(
      "platform_poll_interval_ms", settings.platform_poll_interval,
      {10, 60'000});
  settings.heartbeat_interval = root.DurationInMilliseconds(
      "pulse_interval_ms", settings.heartbeat_interval, {10, 60'000});
  settings.seed_peers = root.Strings("seed_peers");
  settings.platform_timeout = root.DurationInMilliseconds(
      "platform_timeout_ms", settings.platform_timeout, {10, 60'000});
  settings.maximum_body_bytes = static_cast<size_t>(root.Integer(
      "maximum_body_bytes", static_cast<int64_t>(settings.maximum_body_bytes),
      {1'024, 64 << 20}));
  ParseLogSection(root.Section("log"), settings);
  ParseReadsSection(root.Section("reads"), settings.options.group.router);
  ParseFailoverSection(root.Section("failover"), settings.options.group);
  ParseConnectionsSection(root.Section("connections"), settings.options);
  ParseDrainSection(root.Section("drain"), settings);
  root.RejectUnknownKeys();
  return settings;
}

}  // namespace kingcupmill
