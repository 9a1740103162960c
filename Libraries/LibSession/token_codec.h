#ifndef LIBSESSION_TOKEN_CODEC_H_
#define LIBSESSION_TOKEN_CODEC_H_

#include <string>
#include <string_view>

#include "LibCore/error.h"
#include "LibSession/session_token.h"

namespace kingcupmill {

// Encodes session tokens as opaque text, authenticated with HMAC-SHA256 under
// a key that all proxies share.
class TokenCodec {
 public:
  // Fails when the key is shorter than 16 bytes.
  static Result<TokenCodec> Create(std::string key);

  std::string Encode(const SessionToken& token) const;

  // Fails with kInvalidInput when the text is malformed, forged, or holds more
  // than 64 groups.
  Result<SessionToken> Decode(std::string_view text) const;

 private:
  explicit TokenCodec(std::string key);
  std::string Sign(std::string_view payload) const;

  std::string key;
};

}  // namespace kingcupmill

#endif  // LIBSESSION_TOKEN_CODEC_H_
