#ifndef LIBSESSION_TOKEN_CODEC_H_
#define LIBSESSION_TOKEN_CODEC_H_

#include <string>
#include <string_view>

#include "LibCore/error.h"
#include "LibSession/session_token.h"

namespace kingcupmill {

// Encodes session tokens as opaque text that is authenticated with HMAC-SHA256,
// using a key that all proxies share.
class TokenCodec {
 public:
  // Fails with kInvalidInput when the key is shorter than 16 bytes.
  static Result<TokenCodec> Create(std::string key);

  std::string Encode(const SessionToken& token) const;

  // Fails with kInvalidInput when the text is malformed or forged, is longer
  // than 16384 bytes, or has more than 64 groups.
  Result<SessionToken> Decode(std::string_view text) const;

 private:
  explicit TokenCodec(std::string key);
  std::string Sign(std::string_view payload) const;

  std::string key;
};

}  // namespace kingcupmill

#endif  // LIBSESSION_TOKEN_CODEC_H_
