#ifndef LIBREQUESTS_CLIENT_CODEC_H_
#define LIBREQUESTS_CLIENT_CODEC_H_

#include <nlohmann/json_fwd.hpp>

#include "LibCore/error.h"
#include "LibRequests/Forward.h"

namespace kingcupmill {

// Encode requests and answers that proxies forward to each other. The decoders
// fail with kInvalidInput when the JSON value is malformed.

nlohmann::json EncodeClientRequest(const ClientRequest& request);
Result<ClientRequest> DecodeClientRequest(const nlohmann::json& json);
nlohmann::json EncodeClientAnswer(const ClientAnswer& answer);
Result<ClientAnswer> DecodeClientAnswer(const nlohmann::json& json);

}  // namespace kingcupmill

#endif  // LIBREQUESTS_CLIENT_CODEC_H_
