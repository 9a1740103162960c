#ifndef LIBCORE_CBOR_H_
#define LIBCORE_CBOR_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <span>

#include "LibCore/error.h"

namespace kingcupmill {

// Decodes one CBOR value that fills `bytes`. Fails with kInvalidInput on
// malformed bytes and on arrays and maps that are nested too deeply: the parser
// recurses once for each level.
Result<nlohmann::json> DecodeCbor(std::span<const uint8_t> bytes);

}  // namespace kingcupmill

#endif  // LIBCORE_CBOR_H_
