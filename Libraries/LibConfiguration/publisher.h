#ifndef LIBCONFIGURATION_PUBLISHER_H_
#define LIBCONFIGURATION_PUBLISHER_H_

#include <concepts>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "LibArrangement/arrangement_parser.h"
#include "LibConfiguration/change_record.h"
#include "LibCore/error.h"
#include "LibPlatform/platform_row.h"

namespace kingcupmill {

// The operations on the platform's table and object store that Publisher needs.
template <typename T>
concept PlatformStore = requires(T store,
                                 std::string_view text,
                                 uint64_t version) {
  { store.ReadRow(text) } -> std::same_as<Result<PlatformRow>>;
  { store.WriteRow(text, text, version) } -> std::same_as<Result<WriteOutcome>>;
  { store.ReadBlob(text) } -> std::same_as<Result<std::string>>;
  { store.WriteBlob(text, text) } -> std::same_as<Result<void>>;
};

// The outcome of publishing a change.
struct PublishOutcome {
  enum class Kind {
    kPublished,
    kUnchanged,  // The arrangement in force is equal; nothing was written.
    kConflict,   // Another change was published first; `record` is the newest.
  };
  Kind kind = Kind::kPublished;
  ChangeRecord record;
};

// Publishes arrangements that have already been validated:
//   1. read the head record and compare its revision with the one that the
//      change is based on;
//   2. write the new text and the previous record to the object store as
//      immutable blobs, each under its digest;
//   3. replace the head record by compare-and-set;
//   4. if the answer is lost, search the chain of records for the change id.
template <PlatformStore Store>
class Publisher {
 public:
  explicit Publisher(Store& store) : store(store) {}

  // Publishes `text` as the successor of revision `base`. Fails with
  // kUnavailable if the platform does not answer. The change may then have been
  // published; a retry with the same `change_id` returns its outcome.
  Result<PublishOutcome> Publish(std::string_view text,
                                 Revision base,
                                 std::string change_id,
                                 std::string author) {
    KINGCUPMILL_TRY(head_row, this->store.ReadRow(kHeadKey));
    KINGCUPMILL_TRY(head, DecodeChangeRecord(head_row.value));
    KINGCUPMILL_TRY(existing, this->FindChange(head, change_id));
    if (existing.revision.value != 0)
      return PublishOutcome{PublishOutcome::Kind::kPublished, existing};
    if (head.revision != base)
      return PublishOutcome{PublishOutcome::Kind::kConflict, head};
    ChangeRecord record;
    record.revision = Revision{head.revision.value + 1};
    record.digest = DigestOfText(text);
    record.change_id = std::move(change_id);
    record.author = std::move(author);
    if (record.digest == head.digest)
      return PublishOutcome{PublishOutcome::Kind::kUnchanged, head};
    if (!head_row.value.empty()) {
      record.previous = DigestOfText(head_row.value);
      KINGCUPMILL_RETURN_IF_ERROR(
          this->store.WriteBlob(record.previous, head_row.value));
    }
    KINGCUPMILL_RETURN_IF_ERROR(this->store.WriteBlob(record.digest, text));
    return this->ReplaceHead(record, head_row.version);
  }

  // Returns up to `limit` published records, newest first.
  Result<std::vector<ChangeRecord>> History(size_t limit) {
    KINGCUPMILL_TRY(row, this->store.ReadRow(kHeadKey));
    KINGCUPMILL_TRY(record, DecodeChangeRecord(row.value));
    std::vector<ChangeRecord> history;
    while (record.revision.value != 0 && history.size() < limit) {
      history.push_back(record);
      KINGCUPMILL_TRY_ASSIGN(record, this->ReadPrevious(record));
    }
    return history;
  }

 private:
  // The maximum number of records that are searched for a change id.
  static constexpr size_t kMaximumSearchedRecords = 64;
  static constexpr size_t kMaximumWriteAttempts = 3;

  Result<PublishOutcome> ReplaceHead(const ChangeRecord& record,
                                     uint64_t version) {
    const std::string text = EncodeChangeRecord(record);
    for (size_t attempt = 0; attempt < kMaximumWriteAttempts; ++attempt) {
      auto written = Capture(
          [&] { return this->store.WriteRow(kHeadKey, text, version); });
      const auto* outcome = std::get_if<WriteOutcome>(&written);
      if (outcome && *outcome == WriteOutcome::kWritten)
        return PublishOutcome{PublishOutcome::Kind::kPublished, record};
      // The conflict may be with this change itself, if an earlier attempt
      // took effect and only its answer was lost.
      KINGCUPMILL_TRY(row, this->store.ReadRow(kHeadKey));
      KINGCUPMILL_TRY(head, DecodeChangeRecord(row.value));
      KINGCUPMILL_TRY(found, this->FindChange(head, record.change_id));
      if (found.revision.value != 0)
        return PublishOutcome{PublishOutcome::Kind::kPublished, found};
      if (row.version != version)
        return PublishOutcome{PublishOutcome::Kind::kConflict, head};
    }
    return Fail(ErrorCode::kUnavailable,
                "the platform did not answer; try again with the change id " +
                    record.change_id);
  }

  // Searches the chain from `record` back for `change_id`. Returns a record of
  // revision 0 if it is not found.
  Result<ChangeRecord> FindChange(ChangeRecord record,
                                  std::string_view change_id) {
    for (size_t count = 0; count < kMaximumSearchedRecords; ++count) {
      if (record.revision.value == 0 || record.change_id == change_id)
        return record;
      KINGCUPMILL_TRY_ASSIGN(record, this->ReadPrevious(record));
    }
    return ChangeRecord{};
  }

  Result<ChangeRecord> ReadPrevious(const ChangeRecord& record) {
    if (record.previous.empty())
      return ChangeRecord{};
    KINGCUPMILL_TRY(text, this->store.ReadBlob(record.previous));
    return DecodeChangeRecord(text);
  }

  Store& store;
};

}  // namespace kingcupmill

#endif  // LIBCONFIGURATION_PUBLISHER_H_
