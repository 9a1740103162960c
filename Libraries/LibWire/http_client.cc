#include "LibWire/http_client.h"

#include <cpprest/http_client.h>

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <exception>
#include <future>
#include <optional>
#include <stdexcept>
#include <system_error>
#include <utility>

#include "LibCore/text.h"
#include "LibWire/tcp_detail.h"

namespace kingcupmill {

using boost::asio::ip::tcp;
using web::http::client::http_client;
using web::http::client::http_client_config;

namespace {

// A connection whose peer has not answered a keep-alive probe within this time
// is closed. Probes are sent after as long without traffic, so a connection
// that died without a sign is closed after twice this time.
constexpr int kKeepAliveSeconds = 1;

// Counts the connections of one client. Shared with the client's requests,
// which may outlive it.
using ConnectionCounter = std::shared_ptr<std::atomic<uint64_t>>;

void EnableKeepAlive(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  SetTcpOption<TCP_KEEPIDLE>(socket, kKeepAliveSeconds);
  SetTcpOption<TCP_KEEPINTVL>(socket, kKeepAliveSeconds);
  SetTcpOption<TCP_KEEPCNT>(socket, 1);
}

http_client_config MakeConfig(const std::string& address,
                              Duration timeout,
                              const ConnectionCounter& connections_opened) {
  http_client_config config;
  config.set_timeout(timeout);
  const bool is_ipv6 = address.starts_with('[');
  // Called for each request with the connection that will carry it.
  config.set_nativehandle_options(
      [connections_opened, is_ipv6](web::http::client::native_handle handle) {
        auto& socket = *static_cast<tcp::socket*>(handle);
        if (socket.is_open())
          return;
        ++*connections_opened;
        // Options can only be set on an open socket. The library connects it
        // later.
        boost::system::error_code error;
        socket.open(is_ipv6 ? tcp::v6() : tcp::v4(), error);
        if (!error)
          EnableKeepAlive(socket);
      });
  return config;
}

web::http::http_request Convert(const HttpRequest& request) {
  web::http::http_request native(request.method);
  native.set_request_uri(request.query.empty()
                             ? request.path
                             : request.path + "?" + request.query);
  for (const HttpHeader& header : request.headers) {
    // A line end would add a header or a second request.
    if (has_control_character(header.name) ||
        has_control_character(header.value))
      throw std::invalid_argument("a header has a control character");
    native.headers().add(header.name, header.value);
  }
  if (!request.body.empty())
    native.set_body(request.body, "application/json");
  return native;
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
  State(const std::string& address, Duration timeout) {
    try {
      this->client.emplace(
          "http://" + address,
          MakeConfig(address, timeout, this->connections_opened));
    } catch (const std::exception&) {
      this->address_error = std::current_exception();
    }
  }

  // Throws what cpprestsdk throws on a request that it rejects.
  pplx::task<web::http::http_response> Request(const HttpRequest& request) {
    if (this->address_error)
      std::rethrow_exception(this->address_error);
    return this->client->request(Convert(request));
  }

  ConnectionCounter connections_opened =
      std::make_shared<std::atomic<uint64_t>>(0);
  // Absent if the address is malformed.
  std::optional<http_client> client;
  std::exception_ptr address_error;
};

HttpClient::HttpClient(const std::string& address, Duration timeout)
    : state(std::make_unique<State>(address, timeout)) {}

HttpClient::~HttpClient() = default;

uint64_t HttpClient::connections_opened() const {
  return *this->state->connections_opened;
}

void HttpClient::Send(const HttpRequest& request, DidReceive did_receive) {
  pplx::task<web::http::http_response> response;
  try {
    response = this->state->Request(request);
  } catch (const std::exception&) {
    // Most callers run on an event loop, where an exception ends the process.
    response = pplx::task_from_exception<web::http::http_response>(
        std::current_exception());
  }
  response
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
        } catch (const web::http::http_exception& exception) {
          const bool has_timed_out = exception.error_code().value() ==
                                     static_cast<int>(std::errc::timed_out);
          outcome = Error{
              has_timed_out ? ErrorCode::kTimeout : ErrorCode::kUnavailable,
              exception.what()};
        } catch (const web::uri_exception& exception) {
          outcome = Error{ErrorCode::kInvalidInput, exception.what()};
        } catch (const std::invalid_argument& exception) {
          outcome = Error{ErrorCode::kInvalidInput, exception.what()};
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
