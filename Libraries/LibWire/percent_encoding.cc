#include "LibWire/percent_encoding.h"

#include <algorithm>
#include <charconv>

namespace kingcupmill {

namespace {

constexpr std::string_view kHexDigits = "0123456789ABCDEF";
constexpr int kHexBase = 16;
constexpr size_t kEscapeLength = 3;

// Not std::isalnum(), which depends on the locale.
bool is_unreserved(char character) {
  return (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') || character == '-' ||
         character == '.' || character == '_' || character == '~';
}

std::string Encode(std::string_view text, std::string_view kept) {
  std::string encoded;
  encoded.reserve(text.size());
  for (const char character : text) {
    if (is_unreserved(character) || kept.find(character) != kept.npos) {
      encoded.push_back(character);
      continue;
    }
    const auto byte = static_cast<unsigned char>(character);
    encoded.push_back('%');
    encoded.push_back(kHexDigits[byte / kHexBase]);
    encoded.push_back(kHexDigits[byte % kHexBase]);
  }
  return encoded;
}

}  // namespace

std::string EncodeQueryValue(std::string_view text) {
  return Encode(text, "");
}

std::string EncodePath(std::string_view text) {
  return Encode(text, "/");
}

std::optional<std::string> DecodePercent(std::string_view encoded) {
  std::string text;
  while (!encoded.empty()) {
    if (encoded.front() != '%') {
      text.push_back(encoded.front());
      encoded.remove_prefix(1);
      continue;
    }
    const std::string_view escape = encoded.substr(0, kEscapeLength);
    unsigned char byte = 0;
    const char* end = escape.data() + escape.size();
    const auto parsed = std::from_chars(escape.data() + 1, end, byte, kHexBase);
    if (escape.size() != kEscapeLength || parsed.ec != std::errc() ||
        parsed.ptr != end)
      return std::nullopt;
    text.push_back(static_cast<char>(byte));
    encoded.remove_prefix(kEscapeLength);
  }
  return text;
}

std::optional<std::string> FindQueryValue(std::string_view query,
                                          std::string_view name) {
  while (!query.empty()) {
    const std::string_view item = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(item.size() + 1, query.size()));
    const size_t equals = item.find('=');
    if (equals != std::string_view::npos && item.substr(0, equals) == name)
      return DecodePercent(item.substr(equals + 1));
  }
  return std::nullopt;
}

}  // namespace kingcupmill
