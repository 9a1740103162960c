#include "socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <utility>
#include <vector>

namespace review {

namespace {

sockaddr_in MakeAddress(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

const sockaddr* Generic(const sockaddr_in& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

}  // namespace

Socket::Socket(Socket&& other) noexcept
    : descriptor(std::exchange(other.descriptor, -1)) {}

Socket& Socket::operator=(Socket&& other) noexcept {
  std::swap(this->descriptor, other.descriptor);
  return *this;
}

Socket::~Socket() {
  if (this->descriptor >= 0)
    close(this->descriptor);
}

Socket Socket::Listen(const std::string& ip, uint16_t port) {
  Socket listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int enabled = 1;
  setsockopt(listener.descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled,
             sizeof(enabled));
  const sockaddr_in address = MakeAddress(ip, port);
  if (bind(listener.descriptor, Generic(address), sizeof(address)) != 0 ||
      listen(listener.descriptor, SOMAXCONN) != 0)
    return {};
  return listener;
}

Socket Socket::Connect(const std::string& address) {
  const size_t colon = address.rfind(':');
  const auto port = static_cast<uint16_t>(
      std::strtoul(address.c_str() + colon + 1, nullptr, 10));
  Socket connection(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in peer = MakeAddress(address.substr(0, colon), port);
  if (connect(connection.descriptor, Generic(peer), sizeof(peer)) != 0)
    return {};
  const int enabled = 1;
  setsockopt(connection.descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled,
             sizeof(enabled));
  return connection;
}

Socket Socket::Accept() const {
  Socket accepted(accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC));
  const int enabled = 1;
  if (accepted.is_valid())
    setsockopt(accepted.descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled,
               sizeof(enabled));
  return accepted;
}

uint16_t Socket::port() const {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

bool Socket::Send(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t sent =
        send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0)
      return false;
    bytes.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

bool Socket::Receive(std::string& buffer, size_t maximum) const {
  std::vector<char> bytes(maximum);
  const ssize_t count = recv(this->descriptor, bytes.data(), maximum, 0);
  if (count <= 0)
    return false;
  buffer.append(bytes.data(), static_cast<size_t>(count));
  return true;
}

std::optional<std::string> Socket::ReadLine(std::string& buffer) const {
  size_t searched = 0;
  for (;;) {
    const size_t end = buffer.find("\r\n", searched);
    if (end != std::string::npos) {
      std::string line = buffer.substr(0, end);
      buffer.erase(0, end + 2);
      return line;
    }
    searched = buffer.empty() ? 0 : buffer.size() - 1;
    if (!this->Receive(buffer))
      return std::nullopt;
  }
}

void Socket::Shutdown() const {
  shutdown(this->descriptor, SHUT_RDWR);
}

}  // namespace review
