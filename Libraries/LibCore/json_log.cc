#include "LibCore/json_log.h"

#include <fmt/format.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/spdlog.h>

#include <memory>

namespace kingcupmill {

namespace {

constexpr char kMessageFlag = '*';
constexpr unsigned char kFirstPrintable = 0x20;

// Formats the message, escaped for a JSON string.
class EscapedMessageFormatter final : public spdlog::custom_flag_formatter {
 public:
  void format(const spdlog::details::log_msg& message,
              const std::tm& /*time*/,
              spdlog::memory_buf_t& destination) override {
    const std::string escaped = EscapeForJson(
        std::string_view(message.payload.data(), message.payload.size()));
    destination.append(escaped.data(), escaped.data() + escaped.size());
  }

  std::unique_ptr<custom_flag_formatter> clone() const override {
    return std::make_unique<EscapedMessageFormatter>();
  }
};

}  // namespace

std::string EscapeForJson(std::string_view text) {
  std::string escaped;
  for (const char character : text) {
    if (character == '"' || character == '\\') {
      escaped.push_back('\\');
      escaped.push_back(character);
    } else if (static_cast<unsigned char>(character) < kFirstPrintable) {
      escaped += fmt::format("\\u{:04x}", static_cast<int>(character));
    } else {
      escaped.push_back(character);
    }
  }
  return escaped;
}

void UseJsonLog() {
  auto formatter = std::make_unique<spdlog::pattern_formatter>();
  formatter->add_flag<EscapedMessageFormatter>(kMessageFlag);
  formatter->set_pattern(
      R"({"time":"%Y-%m-%dT%H:%M:%S.%e","level":"%l","message":"%*"})");
  spdlog::set_formatter(std::move(formatter));
}

}  // namespace kingcupmill
