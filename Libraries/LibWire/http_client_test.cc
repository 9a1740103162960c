#include "LibWire/http_client.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <chrono>
#include <memory>
#include <string>

#include "LibWire/event_loop.h"
#include "LibWire/http_message.h"
#include "LibWire/line_connection.h"

namespace kingcupmill {

namespace {

// Nothing listens here.
constexpr const char* kAddress = "127.0.0.1:20959";
constexpr const char* kServerAddress = "127.0.0.1:20955";
constexpr Duration kTimeout = std::chrono::milliseconds(500);

HttpRequest MakeRequest() {
  HttpRequest request;
  request.method = "GET";
  request.path = "/path";
  return request;
}

ErrorCode SendTo(const std::string& address, const HttpRequest& request) {
  HttpClient client(address, kTimeout);
  const Result<HttpResponse> response = client.SendAndWait(request);
  return response ? ErrorCode::kInternal : response.error().code;
}

}  // namespace

// Guards against a text from outside that makes cpprestsdk throw on the event
// loop, which ends the process.
TEST_CASE("an HTTP request that is malformed") {
  HttpRequest request = MakeRequest();

  SUBCASE("fails if its path or query is no part of a URI") {
    request.query = "from=old rack/14";
    CHECK(SendTo(kAddress, request) == ErrorCode::kInvalidInput);
    request = MakeRequest();
    request.path = "/blobs/old rack";
    CHECK(SendTo(kAddress, request) == ErrorCode::kInvalidInput);
  }

  SUBCASE("fails if its server has no valid address") {
    for (const char* address : {"", "old rack:1", "[::1", "127.0.0.1:x"}) {
      CAPTURE(address);
      CHECK(SendTo(address, request) != ErrorCode::kInternal);
    }
  }

  SUBCASE("fails if a header could add another one") {
    request.headers = {{"Duty-Holder", "a\r\nFence-Token: 9"}};
    CHECK(SendTo(kAddress, request) == ErrorCode::kInvalidInput);
  }

  SUBCASE("is never thrown back") {
    CHECK(rc::check("any text in each part", [](const std::string& text) {
      HttpRequest odd = MakeRequest();
      odd.query = text;
      odd.headers = {{"Name", text}};
      // Nothing responds, so the request fails in any case.
      RC_ASSERT(SendTo(kAddress, odd) != ErrorCode::kInternal);
      odd = MakeRequest();
      odd.path = "/" + text;
      RC_ASSERT(SendTo(kAddress, odd) != ErrorCode::kInternal);
    }));
  }
}

// Guards against a response that ends the process.
TEST_CASE("an HTTP response that is malformed") {
  EventLoop loop;
  std::string response;
  const auto listener = LineListener::Create(
      loop, kServerAddress,
      [&](const std::shared_ptr<LineConnection>& connection) {
        LineHandlers handlers;
        handlers.did_receive_line =
            [&, weak = std::weak_ptr(connection)](std::string_view line) {
              const auto strong = weak.lock();
              // The empty line ends the request.
              if (!strong || !line.empty())
                return;
              strong->Send(response);
              strong->Close();
            };
        LineListener::SetHandlers(*connection, std::move(handlers));
      });
  REQUIRE(listener.has_value());
  loop.Start();
  const auto send = [&](const std::string& bytes) {
    loop.Post([&, bytes] { response = bytes; });
    HttpClient client(kServerAddress, std::chrono::seconds(2));
    return client.SendAndWait(MakeRequest());
  };
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  REQUIRE(send(ok + "Content-Length: 2\r\n\r\nab").has_value());

  SUBCASE("is an outcome") {
    for (const std::string& bytes :
         {std::string("\r\n"), std::string("HTTP/1.1 \r\n\r\n"),
          std::string("HTTP/9.9 abc OK\r\n\r\n"),
          std::string("HTTP/1.1 99999999999999999999 OK\r\n\r\n"),
          ok + "Content-Length: -1\r\n\r\nab",
          ok + "Content-Length: 99999999999999999999\r\n\r\nab",
          ok + "Content-Length: x\r\n\r\nab", ok + "no colon\r\n\r\n",
          ok + ": empty\r\n\r\n",
          ok + "Content-Type: text/plain; charset=odd\r\n"
               "Content-Length: 2\r\n\r\nab",
          ok + "Content-Type: application/json; charset=utf-16\r\n"
               "Content-Length: 3\r\n\r\n\xff\xfe\xff",
          ok + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nab",
          ok + "Content-Encoding: odd\r\nContent-Length: 2\r\n\r\nab",
          ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
          ok + "Transfer-Encoding: chunked\r\n\r\n"
               "ffffffffffffffffff\r\nab\r\n",
          ok + "Transfer-Encoding: odd\r\n\r\nab",
          std::string("HTTP/1.1 302 Found\r\nLocation: http://old rack/\r\n"
                      "Content-Length: 0\r\n\r\n"),
          std::string("HTTP/1.1 401 Unauthorized\r\nWWW-Authenticate: odd\r\n"
                      "Content-Length: 0\r\n\r\n")}) {
      CAPTURE(bytes);
      (void)send(bytes);
    }
  }

  SUBCASE("is an outcome whatever its bytes are") {
    CHECK(rc::check("any bytes", [&](const std::string& bytes) {
      (void)send(bytes);
      (void)send(ok + bytes);
      (void)send(ok + "Transfer-Encoding: chunked\r\n\r\n" + bytes);
    }));
  }
  loop.Stop();
}

}  // namespace kingcupmill
