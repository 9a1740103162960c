#include "LibCore/port.h"

#include <charconv>

namespace kingcupmill {

std::optional<uint16_t> ParsePort(std::string_view text) {
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return port;
}

}  // namespace kingcupmill
