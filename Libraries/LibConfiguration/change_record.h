#ifndef LIBCONFIGURATION_CHANGE_RECORD_H_
#define LIBCONFIGURATION_CHANGE_RECORD_H_

#include <string>
#include <string_view>

#include "LibCore/error.h"
#include "LibCore/names.h"

namespace kingcupmill {

// The table's row that names the revision in force.
inline constexpr std::string_view kHeadKey = "head";

// One published change. Records form a chain from the newest to the first.
struct ChangeRecord {
  Revision revision;
  // The digest of the arrangement's text.
  std::string digest;
  // Names the attempt to publish, so that a lost answer can be resolved.
  std::string change_id;
  std::string author;
  // The digest of the previous record's text; empty for the first.
  std::string previous;
  friend bool operator==(const ChangeRecord&, const ChangeRecord&) = default;
};

// Returns the text of a record; equal records have equal texts.
std::string EncodeChangeRecord(const ChangeRecord& record);

// An empty text is the record of revision 0: nothing published. Fails with
// kInvalidInput on anything malformed.
Result<ChangeRecord> DecodeChangeRecord(std::string_view text);

}  // namespace kingcupmill

#endif  // LIBCONFIGURATION_CHANGE_RECORD_H_
