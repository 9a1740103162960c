#include "LibConfiguration/change_record.h"

#include <nlohmann/json.hpp>

namespace kingcupmill {

using nlohmann::json;

std::string EncodeChangeRecord(const ChangeRecord& record) {
  return json{{"revision", record.revision.value},
              {"digest", record.digest},
              {"change_id", record.change_id},
              {"author", record.author},
              {"previous", record.previous}}
      .dump();
}

Result<ChangeRecord> DecodeChangeRecord(std::string_view text) {
  if (text.empty())
    return ChangeRecord{};
  try {
    const json parsed = json::parse(text);
    ChangeRecord record;
    record.revision.value = parsed.at("revision").get<uint64_t>();
    parsed.at("digest").get_to(record.digest);
    parsed.at("change_id").get_to(record.change_id);
    parsed.at("author").get_to(record.author);
    parsed.at("previous").get_to(record.previous);
    return record;
  } catch (const json::exception& exception) {
    return Fail(ErrorCode::kInvalidInput, exception.what());
  }
}

}  // namespace kingcupmill
