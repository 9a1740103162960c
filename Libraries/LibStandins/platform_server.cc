#include "LibStandins/platform_server.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "LibPlatform/vm_json.h"

namespace kingcupmill {

using nlohmann::json;

namespace {

constexpr std::string_view kTablePrefix = "/table/";
constexpr std::string_view kBlobPrefix = "/blobs/";
constexpr std::string_view kExpectedParameter = "expected=";
// A lost answer is simulated by an answer that is sent only after every client
// has timed out.
constexpr Duration kLostAnswerDelay = std::chrono::seconds(30);

HttpResponse Status(uint16_t status, const json& body = json::object()) {
  HttpResponse response;
  response.status = status;
  response.body = body.dump();
  return response;
}

}  // namespace

Result<std::unique_ptr<PlatformServer>> PlatformServer::Create(
    Scheduler& scheduler,
    const std::string& address) {
  std::unique_ptr<PlatformServer> server(new PlatformServer(scheduler));
  HttpServer::Options options;
  options.address = address;
  options.maximum_body_bytes = 16U << 20U;
  KINGCUPMILL_TRY_ASSIGN(
      server->http, HttpServer::Create(options, [self = server.get()](
                                                    HttpRequest request,
                                                    HttpServer::Reply reply) {
        self->scheduler.Post(
            [self, request = std::move(request), reply = std::move(reply)] {
              self->Handle(request, reply);
            });
      }));
  return server;
}

PlatformServer::PlatformServer(Scheduler& scheduler) : scheduler(scheduler) {}

PlatformServer::~PlatformServer() = default;

void PlatformServer::Handle(const HttpRequest& request,
                            const HttpServer::Reply& reply) {
  if (request.path == "/faults")
    return reply(this->AnswerFaults(request));
  if (this->current_faults.is_down)
    return reply(Status(503));
  Duration delay = this->current_faults.delay;
  HttpResponse response = this->Answer(request);
  if (request.method == "PUT" && this->current_faults.lost_answers > 0) {
    --this->current_faults.lost_answers;
    delay = kLostAnswerDelay;
  }
  if (delay == Duration(0))
    return reply(std::move(response));
  this->scheduler.PostAfter(
      delay, [reply, response = std::move(response)] { reply(response); });
}

HttpResponse PlatformServer::Answer(const HttpRequest& request) {
  const std::string_view path = request.path;
  if (path.starts_with(kTablePrefix))
    return this->AnswerTable(request, path.substr(kTablePrefix.size()));
  if (path.starts_with(kBlobPrefix))
    return this->AnswerBlob(request, path.substr(kBlobPrefix.size()));
  if (path == "/vms")
    return this->AnswerVms(request);
  return Status(404);
}

HttpResponse PlatformServer::AnswerTable(const HttpRequest& request,
                                         std::string_view key) {
  if (request.method == "GET") {
    const PlatformRow row = this->platform_state.ReadRow(key);
    if (row.version == 0)
      return Status(404);
    return Status(200, {{"value", row.value}, {"version", row.version}});
  }
  const json body = json::parse(request.body, nullptr, false);
  if (request.method != "PUT" || !body.is_object() || !body.contains("value") ||
      !body["value"].is_string() ||
      !request.query.starts_with(kExpectedParameter)) {
    return Status(400);
  }
  const uint64_t expected = std::strtoull(
      request.query.c_str() + kExpectedParameter.size(), nullptr, 10);
  const WriteOutcome outcome = this->platform_state.WriteRow(
      key, body["value"].get<std::string>(), expected);
  return Status(outcome == WriteOutcome::kWritten ? 200 : 409);
}

HttpResponse PlatformServer::AnswerBlob(const HttpRequest& request,
                                        std::string_view digest) {
  if (request.method == "PUT") {
    this->platform_state.WriteBlob(digest, request.body);
    return Status(200);
  }
  const auto text = this->platform_state.ReadBlob(digest);
  if (!text)
    return Status(404);
  HttpResponse response;
  response.body = *text;
  response.content_type = "text/plain; charset=utf-8";
  return response;
}

HttpResponse PlatformServer::AnswerVms(const HttpRequest& request) {
  if (request.method == "GET")
    return Status(200, this->platform_state.vms());
  const json body = json::parse(request.body, nullptr, false);
  if (request.method != "PUT" || !body.is_object() || !body.contains("name") ||
      !body["name"].is_string()) {
    return Status(400);
  }
  this->platform_state.SetVm(body.get<VmRecord>());
  return Status(200);
}

HttpResponse PlatformServer::AnswerFaults(const HttpRequest& request) {
  const json body = json::parse(request.body, nullptr, false);
  if (request.method != "PUT" || !body.is_object())
    return Status(400);
  this->current_faults.is_down = body.value("down", false);
  this->current_faults.delay = Milliseconds(body.value("delay_ms", 0));
  this->current_faults.lost_answers = body.value("lost_answers", 0);
  return Status(200);
}

}  // namespace kingcupmill
