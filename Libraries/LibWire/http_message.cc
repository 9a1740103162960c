#include "LibWire/http_message.h"

#include <algorithm>
#include <cctype>
#include <span>

namespace kingcupmill {

namespace {

bool is_equal_ignoring_case(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

std::string_view FindHeader(std::span<const HttpHeader> headers,
                            std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (is_equal_ignoring_case(header.name, name))
      return header.value;
  }
  return "";
}

}  // namespace

std::string_view HttpRequest::header(std::string_view name) const {
  return FindHeader(this->headers, name);
}

std::string_view HttpResponse::header(std::string_view name) const {
  return FindHeader(this->headers, name);
}

}  // namespace kingcupmill
