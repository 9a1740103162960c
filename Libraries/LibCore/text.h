#ifndef LIBCORE_TEXT_H_
#define LIBCORE_TEXT_H_

#include <string_view>

namespace kingcupmill {

// Whether `text` has an ASCII control character, such as a line end.
bool has_control_character(std::string_view text);

// Whether `text` can be one field of a line or of a header: it is not empty and
// has neither blanks nor control characters.
bool is_printable_word(std::string_view text);

// Whether `text` is valid UTF-8, as every text in JSON must be.
bool is_utf8(std::string_view text);

}  // namespace kingcupmill

#endif  // LIBCORE_TEXT_H_
