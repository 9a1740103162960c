#include "LibSession/token_codec.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <charconv>
#include <optional>
#include <utility>

namespace kingcupmill {

namespace {

constexpr size_t kMinimumKeyBytes = 16;
constexpr size_t kSignatureBytes = 16;
constexpr size_t kMaximumGroups = 64;
constexpr size_t kMaximumTokenBytes = 16384;

std::string ToHex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const char character : bytes) {
    const auto byte = static_cast<unsigned char>(character);
    text.push_back(kDigits[byte >> 4U]);
    text.push_back(kDigits[byte & 15U]);
  }
  return text;
}

// Removes and returns the text before the first `separator` in `rest`. Also
// removes the separator. Returns nothing when there is none.
std::optional<std::string_view> TakeField(std::string_view& rest,
                                          char separator) {
  const size_t end = rest.find(separator);
  if (end == std::string_view::npos)
    return std::nullopt;
  const std::string_view field = rest.substr(0, end);
  rest.remove_prefix(end + 1);
  return field;
}

std::optional<uint64_t> ParseNumber(std::string_view text) {
  uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return number;
}

}  // namespace

Result<TokenCodec> TokenCodec::Create(std::string key) {
  if (key.size() < kMinimumKeyBytes) {
    return Fail(ErrorCode::kInvalidInput,
                "the session key is shorter than 16 bytes");
  }
  return TokenCodec(std::move(key));
}

TokenCodec::TokenCodec(std::string key) : key(std::move(key)) {}

std::string TokenCodec::Encode(const SessionToken& token) const {
  // Group names contain no separators, because the configuration is validated.
  std::string payload = "1:";
  for (const auto& [group, point] : token.points) {
    payload += group.value + "," + std::to_string(point.term.value) + "," +
               std::to_string(point.position.value) + ";";
  }
  return payload + "." + this->Sign(payload);
}

Result<SessionToken> TokenCodec::Decode(std::string_view text) const {
  const size_t dot = text.rfind('.');
  if (text.size() > kMaximumTokenBytes || dot == std::string_view::npos)
    return Fail(ErrorCode::kInvalidInput, "the session token is malformed");
  const std::string_view payload = text.substr(0, dot);
  const std::string_view signature = text.substr(dot + 1);
  const std::string expected = this->Sign(payload);
  if (signature.size() != expected.size() ||
      CRYPTO_memcmp(signature.data(), expected.data(), expected.size()) != 0) {
    return Fail(ErrorCode::kInvalidInput,
                "the session token was not issued by this system");
  }
  std::string_view rest = payload;
  if (!rest.starts_with("1:"))
    return Fail(ErrorCode::kInvalidInput, "the session token is malformed");
  rest.remove_prefix(2);
  SessionToken token;
  while (!rest.empty()) {
    const auto group = TakeField(rest, ',');
    const auto term = group ? TakeField(rest, ',') : std::nullopt;
    const auto position = term ? TakeField(rest, ';') : std::nullopt;
    const auto term_number = position ? ParseNumber(*term) : std::nullopt;
    const auto position_number =
        term_number ? ParseNumber(*position) : std::nullopt;
    if (!position_number || token.points.size() >= kMaximumGroups)
      return Fail(ErrorCode::kInvalidInput, "the session token is malformed");
    token.points[GroupName{std::string(*group)}] =
        LogPoint{Term{*term_number}, Position{*position_number}};
  }
  return token;
}

std::string TokenCodec::Sign(std::string_view payload) const {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), this->key.data(), static_cast<int>(this->key.size()),
       reinterpret_cast<const unsigned char*>(payload.data()), payload.size(),
       digest.data(), &size);
  return ToHex(std::string_view(reinterpret_cast<const char*>(digest.data()),
                                kSignatureBytes));
}

}  // namespace kingcupmill
