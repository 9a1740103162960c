#ifndef LIBREQUESTS_CLIENT_CODEC_H_
#define LIBREQUESTS_CLIENT_CODEC_H_

#include <nlohmann/json_fwd.hpp>

#include "LibCore/error.h"
#include "LibRequests/Forward.h"

namespace kingcupmill {

// Conversions of forwarded requests and answers for messages between proxies.
// Decoders fail with kInvalidInput on anything malformed.

nlohmann::json EncodeClientRequest(const ClientRequest& request);
Result<ClientRequest> DecodeClientRequest(const nlohmann::json& json);
nlohmann::json EncodeClientAnswer(const ClientAnswer& answer);
Result<ClientAnswer> DecodeClientAnswer(const nlohmann::json& json);

}  // namespace kingcupmill

#endif  // LIBREQUESTS_CLIENT_CODEC_H_
