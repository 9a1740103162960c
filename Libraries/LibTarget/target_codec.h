#ifndef LIBTARGET_TARGET_CODEC_H_
#define LIBTARGET_TARGET_CODEC_H_

#include <cstdint>
#include <span>
#include <vector>

#include "LibCore/error.h"
#include "LibTarget/Forward.h"

namespace kingcupmill {

// CBOR encoding of the messages between proxies and targets. Decoders fail with
// kInvalidInput if a message is truncated, a field is missing or has the wrong
// type, or an enumerator is out of range.

std::vector<uint8_t> EncodeTargetRequest(const TargetRequest& request);
Result<TargetRequest> DecodeTargetRequest(std::span<const uint8_t> bytes);
std::vector<uint8_t> EncodeTargetResponse(const TargetResponse& response);
Result<TargetResponse> DecodeTargetResponse(std::span<const uint8_t> bytes);

}  // namespace kingcupmill

#endif  // LIBTARGET_TARGET_CODEC_H_
