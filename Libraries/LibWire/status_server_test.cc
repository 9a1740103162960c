#include "LibWire/status_server.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>
#include <string_view>

#include "LibWire/event_loop.h"
#include "LibWire/http_message.h"

namespace kingcupmill {

namespace {

constexpr uint16_t kPort = 23'911;

// Returns an address of the loopback network that differs between processes, so
// that several of them can run this test at the same time.
uint32_t LoopbackAddress() {
  return (127U << 24U) | (static_cast<uint32_t>(getpid()) & 0x3fffffU) << 1U |
         (1U << 23U);
}

std::string FormatAddress() {
  const in_addr address{htonl(LoopbackAddress())};
  return std::string(inet_ntoa(address)) + ":" + std::to_string(kPort);
}

// A blocking connection to the server.
class Client {
 public:
  Client() : socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    const timeval timeout{10, 0};
    setsockopt(this->socket, SOL_SOCKET, SO_RCVTIMEO, &timeout,
               sizeof(timeout));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(kPort);
    address.sin_addr.s_addr = htonl(LoopbackAddress());
    REQUIRE(connect(this->socket, reinterpret_cast<sockaddr*>(&address),
                    sizeof(address)) == 0);
  }
  ~Client() { close(this->socket); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Returns the first bytes of the response, empty if the connection is closed.
  std::string Send(std::string_view bytes) const {
    ::send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    return this->Receive();
  }

  std::string Receive() const {
    char buffer[256];
    const ssize_t count = ::recv(this->socket, buffer, sizeof(buffer), 0);
    return count > 0 ? std::string(buffer, static_cast<size_t>(count)) : "";
  }

 private:
  int socket;
};

}  // namespace

TEST_CASE("status server") {
  EventLoop loop;
  StatusServer::Options options;
  options.address = FormatAddress();
  options.maximum_connections = 4;
  options.maximum_header_bytes = 1'024;
  options.maximum_body_bytes = 1'024;
  options.timeout = std::chrono::milliseconds(500);
  auto server =
      StatusServer::Create(loop, options, [](const std::string& path) {
        HttpResponse response;
        response.status = path == "/ready" ? 200 : 404;
        response.body = path;
        return response;
      });
  REQUIRE(server);
  loop.Start();
  const std::string request =
      "GET /ready?verbose=1 HTTP/1.1\r\nHost: a\r\n\r\n";

  SUBCASE("answers requests on one connection") {
    const Client client;
    CHECK(client.Send(request).starts_with("HTTP/1.1 200"));
    CHECK(client.Send("GET /other HTTP/1.1\r\nHost: a\r\n\r\n")
              .starts_with("HTTP/1.1 404"));
  }
  SUBCASE("refuses a header that is too long") {
    const Client client;
    CHECK(client.Send("GET /ready HTTP/1.1\r\nA: " + std::string(2'000, 'a'))
              .starts_with("HTTP/1.1 431"));
  }
  SUBCASE("refuses a body that is too long") {
    const Client client;
    CHECK(client.Send("GET /ready HTTP/1.1\r\nContent-Length: 2000\r\n\r\n")
              .starts_with("HTTP/1.1 413"));
  }
  SUBCASE("refuses what is not HTTP") {
    const Client client;
    CHECK(client.Send("\x01\x02\x03\x04\r\n\r\n").starts_with("HTTP/1.1 400"));
  }
  SUBCASE("closes a connection that sends nothing") {
    const Client client;
    CHECK(client.Receive().empty());
  }
  SUBCASE("serves a new connection while others stay silent") {
    const std::array<Client, 20> silent;
    const Client client;
    CHECK(client.Send(request).starts_with("HTTP/1.1 200"));
  }
  loop.Post([&] {
    server->reset();
    loop.Finish();
  });
  loop.Stop();
}

}  // namespace kingcupmill
