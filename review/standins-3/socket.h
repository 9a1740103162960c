#ifndef REVIEW_STANDINS_3_SOCKET_H_
#define REVIEW_STANDINS_3_SOCKET_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace review {

// A blocking TCP socket on a loopback address.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int descriptor) : descriptor(descriptor) {}
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;
  ~Socket();

  // Listens on "ip" and `port`; port 0 means any free one.
  static Socket Listen(const std::string& ip, uint16_t port);
  // Connects to "ip:port".
  static Socket Connect(const std::string& address);
  // Waits for a connection; the result is invalid when the socket was shut
  // down.
  Socket Accept() const;

  bool is_valid() const { return this->descriptor >= 0; }
  uint16_t port() const;
  // Sends all bytes; returns false when the connection has ended.
  bool Send(std::string_view bytes) const;
  // Appends up to `maximum` bytes; returns false at the end of the connection.
  bool Receive(std::string& buffer, size_t maximum = 65536) const;
  // Reads one line, without its CR LF.
  std::optional<std::string> ReadLine(std::string& buffer) const;
  // Ends the connection in both directions; a blocked call returns.
  void Shutdown() const;

 private:
  int descriptor = -1;
};

}  // namespace review

#endif  // REVIEW_STANDINS_3_SOCKET_H_
