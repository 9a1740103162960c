#ifndef LIBWIRE_TCP_DETAIL_H_
#define LIBWIRE_TCP_DETAIL_H_

// Parts shared by the classes that use TCP sockets. Included only by .cc files.

#include <netinet/tcp.h>

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

#include "LibCore/port.h"

namespace kingcupmill {

// Parses "IP:port". Returns false if the address is malformed.
inline bool ParseEndpoint(const std::string& address,
                          boost::asio::ip::tcp::endpoint& endpoint) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos)
    return false;
  boost::system::error_code error;
  const auto ip =
      boost::asio::ip::make_address(address.substr(0, colon), error);
  const auto port = ParsePort(std::string_view(address).substr(colon + 1));
  if (error || !port)
    return false;
  endpoint = boost::asio::ip::tcp::endpoint(ip, *port);
  return true;
}

// Sets an option of TCP, such as TCP_KEEPIDLE. An option that the system does
// not support has no effect.
template <int kOption>
void SetTcpOption(boost::asio::ip::tcp::socket& socket, int value) {
  using Option =
      boost::asio::detail::socket_option::integer<IPPROTO_TCP, kOption>;
  boost::system::error_code ignored;
  socket.set_option(Option(value), ignored);
}

}  // namespace kingcupmill

#endif  // LIBWIRE_TCP_DETAIL_H_
