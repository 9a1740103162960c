#ifndef LIBCORE_IP_ADDRESS_H_
#define LIBCORE_IP_ADDRESS_H_

#include <string_view>

namespace kingcupmill {

// Whether `text` is an IPv4 address such as "10.0.0.9".
bool is_ip_address(std::string_view text);

// Whether `text` is an IPv4 address and a port, such as "10.0.0.9:80".
bool is_ip_endpoint(std::string_view text);

}  // namespace kingcupmill

#endif  // LIBCORE_IP_ADDRESS_H_
