#include "LibCore/ip_address.h"

#include <arpa/inet.h>

#include <string>

#include "LibCore/port.h"

namespace kingcupmill {

bool is_ip_address(std::string_view text) {
  // inet_pton() ends at a zero byte.
  if (text.find('\0') != std::string_view::npos)
    return false;
  in_addr address{};
  return inet_pton(AF_INET, std::string(text).c_str(), &address) == 1;
}

bool is_ip_endpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  return colon != std::string_view::npos &&
         is_ip_address(text.substr(0, colon)) &&
         ParsePort(text.substr(colon + 1)).value_or(0) != 0;
}

}  // namespace kingcupmill
