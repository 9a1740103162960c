#include "LibWire/http_client.h"

#include <cpprest/http_client.h>

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <exception>
#include <future>
#include <utility>

namespace kingcupmill {

using web::http::client::http_client;
using web::http::client::http_client_config;

namespace {

// Counts the connections of one client. Shared with the client's requests,
// which may outlive it.
using ConnectionCounter = std::shared_ptr<std::atomic<uint64_t>>;

http_client_config MakeConfig(Duration timeout,
                              const ConnectionCounter& connections_opened) {
  http_client_config config;
  config.set_timeout(timeout);
  // Called for each request with the connection that will carry it.
  config.set_nativehandle_options(
      [connections_opened](web::http::client::native_handle handle) {
        const auto* socket = static_cast<boost::asio::ip::tcp::socket*>(handle);
        if (!socket->is_open())
          ++*connections_opened;
      });
  return config;
}

HttpResponse Convert(const web::http::http_response& native, std::string body) {
  HttpResponse response;
  response.status = native.status_code();
  for (const auto& [name, value] : native.headers())
    response.headers.push_back({name, value});
  response.body = std::move(body);
  return response;
}

}  // namespace

struct HttpClient::State {
  State(const std::string& address, Duration timeout)
      : client("http://" + address,
               MakeConfig(timeout, this->connections_opened)) {}
  ConnectionCounter connections_opened =
      std::make_shared<std::atomic<uint64_t>>(0);
  http_client client;
};

HttpClient::HttpClient(std::string address, Duration timeout)
    : state(std::make_unique<State>(address, timeout)) {}

HttpClient::~HttpClient() = default;

uint64_t HttpClient::connections_opened() const {
  return *this->state->connections_opened;
}

void HttpClient::Send(const HttpRequest& request, DidReceive did_receive) {
  web::http::http_request native(request.method);
  native.set_request_uri(request.query.empty()
                             ? request.path
                             : request.path + "?" + request.query);
  for (const HttpHeader& header : request.headers)
    native.headers().add(header.name, header.value);
  if (!request.body.empty())
    native.set_body(request.body, "application/json");
  this->state->client.request(native)
      .then([](const web::http::http_response& response) {
        return response.extract_utf8string(true).then(
            [response](std::string body) {
              return Convert(response, std::move(body));
            });
      })
      .then([did_receive =
                 std::move(did_receive)](pplx::task<HttpResponse> finished) {
        ValueOrError<HttpResponse> outcome = Error{};
        try {
          outcome = finished.get();
        } catch (const std::exception& exception) {
          outcome = Error{ErrorCode::kUnavailable, exception.what()};
        }
        did_receive(std::move(outcome));
      });
}

Result<HttpResponse> HttpClient::SendAndWait(const HttpRequest& request) {
  auto promise = std::make_shared<std::promise<ValueOrError<HttpResponse>>>();
  this->Send(request, [promise](ValueOrError<HttpResponse> outcome) {
    promise->set_value(std::move(outcome));
  });
  ValueOrError<HttpResponse> outcome = promise->get_future().get();
  if (auto* error = std::get_if<Error>(&outcome))
    return Fail(error->code, error->message);
  return std::get<HttpResponse>(std::move(outcome));
}

}  // namespace kingcupmill
