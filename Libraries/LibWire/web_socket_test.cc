#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <atomic>
#include <future>
#include <memory>
#include <string>

#include "LibWire/event_loop.h"
#include "LibWire/line_connection.h"
#include "LibWire/web_socket_client.h"
#include "LibWire/web_socket_server.h"

namespace kingcupmill {

// Guards against an address in a row of another writer that ends the process or
// adds lines to the request for the connection.
TEST_CASE("a WebSocket connection to an address that is malformed") {
  EventLoop loop;
  WebSocketClient client(loop);
  loop.Start();
  const auto closes = [&](const std::string& address) {
    const auto closed = std::make_shared<std::promise<void>>();
    loop.Post([&client, address, closed] {
      WebSocketHandlers handlers;
      handlers.did_close = [closed](const auto&) { closed->set_value(); };
      client.Connect(address, std::move(handlers));
    });
    return closed->get_future().wait_for(std::chrono::seconds(1)) ==
           std::future_status::ready;
  };

  SUBCASE("is closed") {
    for (const char* address :
         {"", "old rack/14", "[::1", "127.0.0.1", "127.0.0.1:x", "localhost:1",
          "127.0.0.1:99999", "127.0.0.1:1/\r\nHost: x", "a@127.0.0.1:1",
          "127.0.0.1:1:1", "[127.0.0.1]:1", ":1", "127.0.0.1:"}) {
      CAPTURE(address);
      CHECK(closes(address));
    }
  }

  SUBCASE("sends nothing") {
    constexpr const char* kAddress = "127.0.0.1:20957";
    std::atomic<bool> has_received = false;
    Result<std::unique_ptr<LineListener>> listener = LineListener::Create(
        loop, kAddress,
        [&](const std::shared_ptr<LineConnection>& connection) {
          LineHandlers handlers;
          handlers.did_receive_line = [&](std::string_view) {
            has_received = true;
          };
          LineListener::SetHandlers(*connection, std::move(handlers));
        },
        nullptr);
    REQUIRE(listener.has_value());
    closes(std::string(kAddress) + "/\r\nInjected: x");
    CHECK_FALSE(has_received);
  }

  SUBCASE("is closed whatever its bytes are") {
    CHECK(rc::check("any text", [&](const std::string& address) {
      RC_ASSERT(closes(address + ":x"));
    }));
  }
  loop.Stop();
}

// Guards against a request that ends the process.
TEST_CASE("a WebSocket request that is malformed") {
  constexpr const char* kAddress = "127.0.0.1:20954";
  EventLoop loop;
  WebSocketServer server(loop, WebSocketHandlers{});
  std::string error;
  REQUIRE(server.Listen(kAddress, error) != 0);
  loop.Start();
  const auto send = [&](const std::string& bytes) {
    auto closed = std::make_shared<std::promise<void>>();
    std::shared_ptr<LineConnection> connection;
    std::promise<void> is_sent;
    loop.Post([&, bytes, closed] {
      LineHandlers handlers;
      handlers.did_close = [closed] { closed->set_value(); };
      connection = LineConnection::Connect(loop, kAddress, std::move(handlers));
      connection->Send(bytes);
      is_sent.set_value();
    });
    is_sent.get_future().get();
    closed->get_future().wait_for(std::chrono::milliseconds(50));
    loop.Post([connection] { connection->Abort(); });
  };
  const std::string upgrade =
      "Upgrade: websocket\r\nConnection: Upgrade\r\n"
      "Sec-WebSocket-Version: 13\r\n"
      "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n";

  SUBCASE("is rejected") {
    for (const std::string& bytes :
         {std::string("\r\n\r\n"), std::string("GET\r\n\r\n"),
          "GET / HTTP/1.1\r\nHost: [::1\r\n" + upgrade + "\r\n",
          "GET / HTTP/1.1\r\nHost: a:99999\r\n" + upgrade + "\r\n",
          "GET / HTTP/1.1\r\nHost: a:x\r\n" + upgrade + "\r\n",
          "GET %zz HTTP/9.9\r\nHost: a\r\n" + upgrade + "\r\n",
          "GET / HTTP/1.1\r\n" + upgrade + "\r\n",
          "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n" + upgrade +
              "\r\n",
          "GET / HTTP/1.1\r\nHost: a\r\n" + upgrade +
              "Sec-WebSocket-Extensions: ;,=\"\r\n"
              "Sec-WebSocket-Protocol: ,,\r\n\r\n",
          "GET / HTTP/1.1\r\nHost: a\r\n" + upgrade +
              "\r\n\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff",
          "GET / HTTP/1.1\r\nHost: a\r\n" + upgrade + "\r\n\x88\x01\x03"}) {
      CAPTURE(bytes);
      send(bytes);
    }
  }

  SUBCASE("is rejected whatever its bytes are") {
    CHECK(rc::check("any bytes", [&](const std::string& bytes) {
      send("GET / HTTP/1.1\r\nHost: " + bytes + "\r\n" + upgrade + "\r\n");
      send("GET / HTTP/1.1\r\nHost: a\r\n" + upgrade + "\r\n" + bytes);
    }));
  }
  loop.Stop();
}

}  // namespace kingcupmill
