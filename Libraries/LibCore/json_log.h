#ifndef LIBCORE_JSON_LOG_H_
#define LIBCORE_JSON_LOG_H_

#include <string>
#include <string_view>

namespace kingcupmill {

// Makes spdlog write each line as a JSON object with time, level and message.
void UseJsonLog();

// Escapes `text` for use between the quotes of a JSON string.
std::string EscapeForJson(std::string_view text);

}  // namespace kingcupmill

#endif  // LIBCORE_JSON_LOG_H_
