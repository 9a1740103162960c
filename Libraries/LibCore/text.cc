#include "LibCore/text.h"

#include <algorithm>
#include <cstddef>

namespace kingcupmill {

namespace {

constexpr unsigned char kDelete = 0x7f;

// One row of table 3-7 of the Unicode standard: the sequences that begin with
// `first` to `last`, by their length and the bounds of their second byte. All
// further bytes are 0x80 to 0xbf.
struct Utf8Sequence {
  unsigned char first = 0;
  unsigned char last = 0;
  size_t length = 0;
  unsigned char second_minimum = 0;
  unsigned char second_maximum = 0;
};
constexpr Utf8Sequence kUtf8Sequences[] = {
    {0x00, 0x7f, 1, 0x00, 0x00}, {0xc2, 0xdf, 2, 0x80, 0xbf},
    {0xe0, 0xe0, 3, 0xa0, 0xbf}, {0xe1, 0xec, 3, 0x80, 0xbf},
    {0xed, 0xed, 3, 0x80, 0x9f}, {0xee, 0xef, 3, 0x80, 0xbf},
    {0xf0, 0xf0, 4, 0x90, 0xbf}, {0xf1, 0xf3, 4, 0x80, 0xbf},
    {0xf4, 0xf4, 4, 0x80, 0x8f}};

// Returns the length of the sequence at the start of `text`; 0 if it is
// malformed.
size_t Utf8SequenceLength(std::string_view text) {
  const auto byte_at = [&](size_t index) {
    return static_cast<unsigned char>(text[index]);
  };
  for (const Utf8Sequence& sequence : kUtf8Sequences) {
    if (byte_at(0) < sequence.first || byte_at(0) > sequence.last)
      continue;
    if (sequence.length > text.size())
      return 0;
    for (size_t index = 1; index < sequence.length; ++index) {
      const unsigned char minimum = index == 1 ? sequence.second_minimum : 0x80;
      const unsigned char maximum = index == 1 ? sequence.second_maximum : 0xbf;
      if (byte_at(index) < minimum || byte_at(index) > maximum)
        return 0;
    }
    return sequence.length;
  }
  return 0;
}

}  // namespace

bool has_control_character(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](unsigned char character) {
    return character < ' ' || character == kDelete;
  });
}

bool is_printable_word(std::string_view text) {
  return !text.empty() && text.find(' ') == std::string_view::npos &&
         !has_control_character(text);
}

bool is_utf8(std::string_view text) {
  while (!text.empty()) {
    const size_t length = Utf8SequenceLength(text);
    if (length == 0)
      return false;
    text.remove_prefix(length);
  }
  return true;
}

}  // namespace kingcupmill
