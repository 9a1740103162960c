#include "LibProxy/admin_interface.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "LibProxy/control_agent.h"
#include "LibProxy/proxy_core.h"
#include "LibProxy/proxy_metrics.h"
#include "LibProxy/proxy_settings.h"
#include "LibProxy/socket_peer_network.h"
#include "LibWire/percent_encoding.h"

namespace kingcupmill {

using nlohmann::json;

namespace {

HttpResponse JsonResponse(uint16_t status, const json& body) {
  HttpResponse response;
  response.status = status;
  response.body = body.dump();
  return response;
}

HttpResponse ErrorResponse(uint16_t status, const char* message) {
  return JsonResponse(
      status, {{"error", {{"code", "invalid_request"}, {"message", message}}}});
}

std::optional<int64_t> ParseInteger(const std::string& text) {
  int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end || number < 0)
    return std::nullopt;
  return number;
}

json DescribeTargets(const GroupAgent& agent, TimePoint now) {
  json targets = json::object();
  const GroupView& view = agent.monitor().view();
  for (const TargetName& name : view.members()) {
    const auto* observation = view.Find(name);
    if (!observation)
      continue;
    const TargetStatus& status = observation->status;
    targets[name.value] = {
        {"reachable", observation->is_reachable},
        {"role", status.role == TargetRole::kPrimary ? "primary" : "replica"},
        {"term", status.term.value},
        {"last_position", status.last_entry.position.value},
        {"visible_position", status.visible.value},
        {"status_age_ms", ToMilliseconds(now - observation->received_at)}};
  }
  return targets;
}

json MillisecondsSince(TimePoint now, std::optional<TimePoint> time) {
  if (!time)
    return nullptr;
  return ToMilliseconds(now - *time);
}

}  // namespace

AdminInterface::AdminInterface(const Scheduler& scheduler,
                               const ProxySettings& settings,
                               const ProxyCore& core,
                               const ControlAgent& control,
                               const ProxyMetrics& metrics,
                               const SocketPeerNetwork& peers,
                               StartDraining start_draining)
    : scheduler(scheduler),
      settings(settings),
      core(core),
      control(control),
      metrics(metrics),
      peers(peers),
      start_draining(std::move(start_draining)) {}

bool AdminInterface::is_responsible(std::string_view path) {
  return path == "/health" || path == "/metrics" || path.starts_with("/admin/");
}

HttpResponse AdminInterface::Handle(const HttpRequest& request) {
  const bool is_drain = request.path == "/admin/drain";
  if (request.method != (is_drain ? "POST" : "GET"))
    return ErrorResponse(405, "this path does not take this method");
  if (request.path == "/health")
    return this->Health();
  if (request.path == "/metrics")
    return this->Metrics();
  if (request.path == "/admin/status")
    return this->Status();
  if (request.path == "/admin/explain")
    return this->Explain(request);
  if (is_drain) {
    this->start_draining();
    return JsonResponse(200, {{"status", "draining"}});
  }
  return ErrorResponse(404, "there is no such path");
}

HttpResponse AdminInterface::Health() const {
  if (this->core.is_draining())
    return JsonResponse(503, {{"status", "draining"}});
  if (this->control.tracker().in_force().revision.value == 0)
    return JsonResponse(503, {{"status", "without_configuration"}});
  return JsonResponse(200, {{"status", "ready"}});
}

HttpResponse AdminInterface::Metrics() const {
  HttpResponse response;
  response.content_type = "text/plain; version=0.0.4";
  response.body = this->metrics.Format();
  const TimePoint now = this->scheduler.Now();
  const RevisionTracker& tracker = this->control.tracker();
  AppendGauge(response.body, "kingcupmill_revision",
              static_cast<double>(tracker.in_force().revision.value));
  AppendGauge(response.body, "kingcupmill_revision_contradictions_total",
              static_cast<double>(tracker.contradiction_count()));
  const auto contact = tracker.last_store_contact();
  AppendGauge(
      response.body, "kingcupmill_platform_silence_seconds",
      contact ? std::chrono::duration<double>(now - *contact).count() : -1);
  AppendGauge(response.body, "kingcupmill_requests_in_flight",
              static_cast<double>(this->core.open_requests()));
  AppendGauge(response.body, "kingcupmill_transactions_open",
              static_cast<double>(this->core.open_transactions()));
  AppendGauge(response.body, "kingcupmill_promotions_total",
              static_cast<double>(this->core.promotion_count()));
  AppendGauge(response.body, "kingcupmill_peer_control_bytes_total",
              static_cast<double>(this->peers.control_bytes()));
  return response;
}

HttpResponse AdminInterface::Status() const {
  const TimePoint now = this->scheduler.Now();
  const RevisionTracker& tracker = this->control.tracker();
  json body = {
      {"vm", this->settings.options.vm.value},
      {"place", this->settings.options.place.value},
      {"draining", this->core.is_draining()},
      {"revision", tracker.in_force().revision.value},
      {"digest", tracker.in_force().digest},
      {"in_force_since_ms", MillisecondsSince(now, tracker.adopted_at())},
      {"platform_silence_ms",
       MillisecondsSince(now, tracker.last_store_contact())},
      {"known_vms", this->control.members().size()},
      {"requests_in_flight", this->core.open_requests()},
      {"groups", json::object()}};
  for (const auto& [name, group] : this->core.arrangement().groups) {
    json& entry = body["groups"][name.value];
    entry["homes"] = json::array();
    for (const VmName& home : this->core.HomesOf(name))
      entry["homes"].push_back(home.value);
    const GroupAgent* agent = this->core.FindAgent(name);
    if (!agent)
      continue;
    const auto primary = agent->monitor().view().primary();
    entry["primary"] = primary ? json(primary->target.value) : json(nullptr);
    entry["targets"] = DescribeTargets(*agent, now);
  }
  return JsonResponse(200, body);
}

HttpResponse AdminInterface::Explain(const HttpRequest& request) const {
  const auto group = FindQueryValue(request.query, "group");
  if (!group)
    return ErrorResponse(400, "the parameter group is missing");
  const GroupName name{*group};
  if (!this->core.arrangement().groups.contains(name))
    return ErrorResponse(404, "the group is not declared");
  ReadQuery query;
  query.arrived_at = this->scheduler.Now();
  if (const auto age = FindQueryValue(request.query, "max_age_ms")) {
    const auto milliseconds = ParseInteger(*age);
    if (!milliseconds)
      return ErrorResponse(400, "max_age_ms is not a whole number");
    query.maximum_age = Milliseconds(*milliseconds);
  }
  if (const auto position = FindQueryValue(request.query, "position")) {
    const auto number = ParseInteger(*position);
    if (!number)
      return ErrorResponse(400, "position is not a whole number");
    query.session_point =
        LogPoint{Term{}, Position{static_cast<uint64_t>(*number)}};
  }
  const GroupAgent* agent = this->core.FindAgent(name);
  if (!agent) {
    json homes = json::array();
    for (const VmName& home : this->core.HomesOf(name))
      homes.push_back(home.value);
    return JsonResponse(200, {{"route", "forward"},
                              {"candidates", homes},
                              {"reason", "this proxy is not a home"}});
  }
  const ReadDecision decision =
      agent->reads().Explain(query, Priority::kOrdinary);
  const bool is_sent = decision.kind == ReadDecision::Kind::kSend;
  return JsonResponse(200,
                      {{"route", is_sent ? decision.target.value : "none"},
                       {"role", decision.is_primary ? "primary" : "replica"},
                       {"minimum_position", decision.minimum_position.value},
                       {"reason", decision.reason},
                       {"targets", DescribeTargets(*agent, query.arrived_at)}});
}

}  // namespace kingcupmill
