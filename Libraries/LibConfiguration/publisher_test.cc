#include "LibConfiguration/publisher.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <optional>

#include "LibConfiguration/revision_tracker.h"

namespace kingcupmill {

namespace {

// An in-memory store whose next row write can fail before or after it takes
// effect.
class FakeStore {
 public:
  enum class Fault { kNone, kLostRequest, kLostAnswer };

  Result<PlatformRow> ReadRow(std::string_view key) {
    return this->rows[std::string(key)];
  }
  Result<WriteOutcome> WriteRow(std::string_view key,
                                std::string_view value,
                                uint64_t expected) {
    const Fault fault = std::exchange(this->next_fault, Fault::kNone);
    if (fault == Fault::kLostRequest)
      return Fail(ErrorCode::kTimeout, "lost");
    PlatformRow& row = this->rows[std::string(key)];
    const bool is_expected = row.version == expected;
    if (is_expected)
      row = PlatformRow{std::string(value), row.version + 1};
    if (fault == Fault::kLostAnswer)
      return Fail(ErrorCode::kTimeout, "lost");
    return is_expected ? WriteOutcome::kWritten : WriteOutcome::kConflict;
  }
  Result<std::string> ReadBlob(std::string_view digest) {
    return this->blobs[std::string(digest)];
  }
  Result<void> WriteBlob(std::string_view digest, std::string_view text) {
    this->blobs[std::string(digest)] = std::string(text);
    return {};
  }

  Fault next_fault = Fault::kNone;

 private:
  std::map<std::string, PlatformRow> rows;
  std::map<std::string, std::string> blobs;
};

PublishOutcome Publish(FakeStore& store,
                       const char* text,
                       uint64_t base,
                       const char* change_id) {
  auto outcome = Capture([&] {
    return Publisher<FakeStore>(store).Publish(text, Revision{base}, change_id,
                                               "somebody");
  });
  return std::get<PublishOutcome>(outcome);
}

}  // namespace

TEST_CASE("Publishing serializes the changes of operators") {
  using Kind = PublishOutcome::Kind;
  FakeStore store;
  const PublishOutcome first = Publish(store, "one", 0, "c1");
  CHECK(first.kind == Kind::kPublished);
  CHECK(first.record.revision == Revision{1});

  SUBCASE("of two changes with the same base revision, one conflicts") {
    CHECK(Publish(store, "two", 1, "c2").kind == Kind::kPublished);
    const PublishOutcome loser = Publish(store, "three", 1, "c3");
    CHECK(loser.kind == Kind::kConflict);
    CHECK(loser.record.change_id == "c2");
  }
  SUBCASE(
      "the change id resolves the outcome of a write whose answer was lost") {
    store.next_fault = FakeStore::Fault::kLostAnswer;
    const PublishOutcome second = Publish(store, "two", 1, "c2");
    CHECK(second.kind == Kind::kPublished);
    CHECK(second.record.revision == Revision{2});
  }
  SUBCASE("a write is retried when its request was lost") {
    store.next_fault = FakeStore::Fault::kLostRequest;
    CHECK(Publish(store, "two", 1, "c2").record.revision == Revision{2});
  }
  SUBCASE(
      "a repeated attempt is not published twice, even after other changes") {
    Publish(store, "two", 1, "c2");
    const PublishOutcome again = Publish(store, "one", 0, "c1");
    CHECK(again.kind == Kind::kPublished);
    CHECK(again.record.revision == Revision{1});
    auto history =
        Capture([&] { return Publisher<FakeStore>(store).History(10); });
    CHECK(std::get<std::vector<ChangeRecord>>(history).size() == 2);
  }
  SUBCASE("an equal arrangement does not get a new revision") {
    CHECK(Publish(store, "one", 1, "c2").kind == Kind::kUnchanged);
  }
}

TEST_CASE("A proxy's revision never decreases") {
  const TimePoint now{std::chrono::hours(1)};
  CHECK(rc::check([&](const std::vector<uint8_t>& named_revisions) {
    RevisionTracker tracker;
    Revision highest;
    for (const uint8_t number : named_revisions) {
      const std::string text = "text " + std::to_string(number);
      const RevisionName name{Revision{number}, DigestOfText(text)};
      if (tracker.DidLearnRevision(now, name, RevisionSource::kPeer))
        tracker.DidReceiveText(now, name, text);
      RC_ASSERT(tracker.in_force().revision >= highest);
      highest = tracker.in_force().revision;
      RC_ASSERT(!tracker.DidReceiveText(now, name, "another text"));
    }
  }));
}

}  // namespace kingcupmill
