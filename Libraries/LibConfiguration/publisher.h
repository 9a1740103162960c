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

// The platform's table and object store, as publishing needs them.
template <typename T>
concept PlatformStore = requires(T store,
                                 std::string_view text,
                                 uint64_t version) {
  { store.ReadRow(text) } -> std::same_as<Result<PlatformRow>>;
  { store.WriteRow(text, text, version) } -> std::same_as<Result<WriteOutcome>>;
  { store.ReadBlob(text) } -> std::same_as<Result<std::string>>;
  { store.WriteBlob(text, text) } -> std::same_as<Result<void>>;
};

// What became of a change.
struct PublishOutcome {
  enum class Kind {
    kPublished,
    kUnchanged,  // The arrangement in force is already equal.
    kConflict,   // Another change was published first; `record` is that one.
  };
  Kind kind = Kind::kPublished;
  ChangeRecord record;
};

// Publishes arrangements that have been checked:
//   1. read the head and compare it with the revision the change builds on;
//   2. write the text and the record, both immutable, under their digests;
//   3. replace the head by compare-and-set;
//   4. when the answer is lost, look for the change id in the chain.
template <PlatformStore Store>
class Publisher {
 public:
  explicit Publisher(Store& store) : store(store) {}

  // Publishes `text` on top of `base`. Fails with kUnavailable when the
  // platform does not answer; the change may then be published, and trying
  // again with the same `change_id` tells.
  Result<PublishOutcome> Publish(std::string_view text,
                                 Revision base,
                                 std::string change_id,
                                 std::string author) {
    KINGCUPMILL_TRY(head_row, this->store.ReadRow(kHeadKey));
    KINGCUPMILL_TRY(head, DecodeChangeRecord(head_row.value));
    KINGCUPMILL_TRY(earlier, this->FindChange(head, change_id));
    if (earlier.revision.value != 0)
      return PublishOutcome{PublishOutcome::Kind::kPublished, earlier};
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
      KINGCUPMILL_CHECK(this->store.WriteBlob(record.previous, head_row.value));
    }
    KINGCUPMILL_CHECK(this->store.WriteBlob(record.digest, text));
    return this->ReplaceHead(record, head_row.version);
  }

  // Returns the chain of records, newest first, at most `limit` of them.
  Result<std::vector<ChangeRecord>> History(size_t limit) {
    KINGCUPMILL_TRY(row, this->store.ReadRow(kHeadKey));
    KINGCUPMILL_TRY(record, DecodeChangeRecord(row.value));
    std::vector<ChangeRecord> history;
    while (record.revision.value != 0 && history.size() < limit) {
      history.push_back(record);
      KINGCUPMILL_TRY_ASSIGN(record, this->Previous(record));
    }
    return history;
  }

 private:
  // The number of records searched for a change whose answer was lost.
  static constexpr size_t kSearchLimit = 64;
  static constexpr size_t kWriteAttempts = 3;

  Result<PublishOutcome> ReplaceHead(const ChangeRecord& record,
                                     uint64_t version) {
    const std::string text = EncodeChangeRecord(record);
    for (size_t attempt = 0; attempt < kWriteAttempts; ++attempt) {
      auto written = Capture(
          [&] { return this->store.WriteRow(kHeadKey, text, version); });
      const auto* outcome = std::get_if<WriteOutcome>(&written);
      if (outcome && *outcome == WriteOutcome::kWritten)
        return PublishOutcome{PublishOutcome::Kind::kPublished, record};
      // The conflict may be with this very change, when an earlier attempt
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

  // Returns the record with `change_id`, or one of revision 0.
  Result<ChangeRecord> FindChange(ChangeRecord record,
                                  std::string_view change_id) {
    for (size_t count = 0; count < kSearchLimit; ++count) {
      if (record.revision.value == 0 || record.change_id == change_id)
        return record;
      KINGCUPMILL_TRY_ASSIGN(record, this->Previous(record));
    }
    return ChangeRecord{};
  }

  Result<ChangeRecord> Previous(const ChangeRecord& record) {
    if (record.previous.empty())
      return ChangeRecord{};
    KINGCUPMILL_TRY(text, this->store.ReadBlob(record.previous));
    return DecodeChangeRecord(text);
  }

  Store& store;
};

}  // namespace kingcupmill

#endif  // LIBCONFIGURATION_PUBLISHER_H_
