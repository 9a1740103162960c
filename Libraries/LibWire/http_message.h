#ifndef LIBWIRE_HTTP_MESSAGE_H_
#define LIBWIRE_HTTP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupmill {

// One HTTP header.
struct HttpHeader {
  std::string name;
  std::string value;
};

// One HTTP request with its whole body.
struct HttpRequest {
  std::string method;
  // The path, decoded, without the query.
  std::string path;
  std::string query;
  std::vector<HttpHeader> headers;
  std::string body;

  // Returns the value of the header `name`, ignoring case, or "".
  std::string_view header(std::string_view name) const;
};

// One HTTP response with its whole body.
struct HttpResponse {
  uint16_t status = 200;
  std::vector<HttpHeader> headers;
  std::string body;
  std::string content_type = "application/json";

  // Returns the value of the header `name`, ignoring case, or "".
  std::string_view header(std::string_view name) const;
};

}  // namespace kingcupmill

#endif  // LIBWIRE_HTTP_MESSAGE_H_
