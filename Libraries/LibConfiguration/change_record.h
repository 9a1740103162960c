#ifndef LIBCONFIGURATION_CHANGE_RECORD_H_
#define LIBCONFIGURATION_CHANGE_RECORD_H_

#include <string>
#include <string_view>

#include "LibCore/error.h"
#include "LibCore/names.h"

namespace kingcupmill {

// The key of the table row that holds the newest ChangeRecord.
inline constexpr std::string_view kHeadKey = "head";

// One published change. Each record refers to the previous one, so that the
// records form a chain from the newest to the first.
struct ChangeRecord {
  Revision revision;
  // The digest of the arrangement's text.
  std::string digest;
  // Identifies the attempt to publish, so that its outcome can be determined
  // after the platform's answer was lost.
  std::string change_id;
  std::string author;
  // The digest of the previous record's encoded text; empty in the first
  // record.
  std::string previous;
  friend bool operator==(const ChangeRecord&, const ChangeRecord&) = default;
};

// Encodes a record as text; equal records have equal texts.
std::string EncodeChangeRecord(const ChangeRecord& record);

// Decodes a record. An empty text gives a record of revision 0, which stands
// for nothing published yet. Fails with kInvalidInput if the text is malformed.
Result<ChangeRecord> DecodeChangeRecord(std::string_view text);

}  // namespace kingcupmill

#endif  // LIBCONFIGURATION_CHANGE_RECORD_H_
