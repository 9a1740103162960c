#ifndef LIBWIRE_PERCENT_ENCODING_H_
#define LIBWIRE_PERCENT_ENCODING_H_

#include <optional>
#include <string>
#include <string_view>

namespace kingcupmill {

// Returns `text` as a value in the query of a URI: every byte that RFC 3986
// does not call unreserved is written as "%XX".
std::string EncodeQueryValue(std::string_view text);

// Returns `text` as a path or a part of one. As EncodeQueryValue(), but each
// "/" is kept and separates segments.
std::string EncodePath(std::string_view text);

// Returns the text that was encoded, or nothing if a "%" is not followed by two
// hexadecimal digits.
std::optional<std::string> DecodePercent(std::string_view encoded);

// Returns the decoded value of the parameter `name` in a query such as
// "a=1&b=2"; nothing if it is absent or malformed.
std::optional<std::string> FindQueryValue(std::string_view query,
                                          std::string_view name);

}  // namespace kingcupmill

#endif  // LIBWIRE_PERCENT_ENCODING_H_
