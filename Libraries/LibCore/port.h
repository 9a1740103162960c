#ifndef LIBCORE_PORT_H_
#define LIBCORE_PORT_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace kingcupmill {

// Parses the decimal number of a TCP port. Returns nothing for any other text
// and for a number above 65535.
std::optional<uint16_t> ParsePort(std::string_view text);

}  // namespace kingcupmill

#endif  // LIBCORE_PORT_H_
