#include "LibWire/http_server.h"

#include <cpprest/http_listener.h>
#include <pplx/threadpool.h>

#include <atomic>
#include <exception>
#include <utility>

#include "LibWire/http_message.h"

namespace kingcupmill {

using web::http::http_request;
using web::http::http_response;
using web::http::experimental::listener::http_listener;
using web::http::experimental::listener::http_listener_config;

namespace {

HttpResponse ErrorResponse(uint16_t status, const char* code) {
  HttpResponse response;
  response.status = status;
  response.body = std::string(R"({"outcome":"not_run","error":{"code":")") +
                  code + R"(","message":")" + code + R"("}})";
  return response;
}

// Sends only the first reply: a body may still arrive after it has timed out.
class ReplyOnce {
 public:
  explicit ReplyOnce(const http_request& request) : request(request) {}

  void Send(HttpResponse response) {
    if (this->is_sent.exchange(true))
      return;
    http_response native(response.status);
    for (const HttpHeader& header : response.headers)
      native.headers().add(header.name, header.value);
    native.set_body(std::move(response.body), response.content_type);
    this->request.reply(native).then([](pplx::task<void> sent) {
      try {
        sent.get();
      } catch (const std::exception&) {
        // The client disconnected, so the response cannot be delivered.
      }
    });
  }

 private:
  http_request request;
  std::atomic<bool> is_sent = false;
};

HttpRequest ConvertHead(const http_request& native) {
  HttpRequest request;
  request.method = native.method();
  request.path = web::uri::decode(native.request_uri().path());
  request.query = native.request_uri().query();
  for (const auto& [name, value] : native.headers())
    request.headers.push_back({name, value});
  return request;
}

void ReceiveRequest(http_request& native,
                    const HttpServer::Options& options,
                    const HttpServer::Handler& handler) {
  auto reply = std::make_shared<ReplyOnce>(native);
  HttpRequest head;
  try {
    head = ConvertHead(native);
  } catch (const std::exception&) {
    return reply->Send(ErrorResponse(400, "malformed_uri"));
  }
  if (native.headers().content_length() > options.maximum_body_bytes)
    return reply->Send(ErrorResponse(413, "body_too_large"));
  native.extract_utf8string(true).then(
      [reply, handler, head = std::move(head),
       limit = options.maximum_body_bytes](
          pplx::task<std::string> extracted) mutable {
        try {
          head.body = extracted.get();
        } catch (const std::exception&) {
          return reply->Send(ErrorResponse(400, "malformed_body"));
        }
        if (head.body.size() > limit)
          return reply->Send(ErrorResponse(413, "body_too_large"));
        handler(std::move(head), [reply](HttpResponse response) {
          reply->Send(std::move(response));
        });
      });
}

}  // namespace

struct HttpServer::State {
  explicit State(http_listener listener) : listener(std::move(listener)) {}
  http_listener listener;
};

Result<std::unique_ptr<HttpServer>> HttpServer::Create(Options options,
                                                       Handler handler) {
  try {
    http_listener_config config;
    config.set_timeout(
        std::chrono::duration_cast<utility::seconds>(options.body_timeout));
    config.set_backlog(512);
    http_listener listener("http://" + options.address + "/", config);
    listener.support([options, handler](http_request request) {
      ReceiveRequest(request, options, handler);
    });
    listener.open().wait();
    auto state = std::make_unique<State>(std::move(listener));
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
  } catch (const std::exception& exception) {
    return Fail(ErrorCode::kUnavailable, "cannot listen on " + options.address +
                                             ": " + exception.what());
  }
}

HttpServer::HttpServer(std::unique_ptr<State> state)
    : state(std::move(state)) {}

HttpServer::~HttpServer() {
  try {
    this->state->listener.close().wait();
  } catch (const std::exception&) {
    // The listener is closed already.
  }
}

void HttpServer::InitializeThreads(size_t threads) {
  crossplat::threadpool::initialize_with_threads(threads);
}

}  // namespace kingcupmill
