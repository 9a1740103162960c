#include "LibTables/table_follower.h"

#include <doctest/doctest.h>

#include <deque>

#include "LibCore/virtual_scheduler.h"

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;

// Answers each call when the test says so.
class ScriptedStore final : public RowStore {
 public:
  struct Call {
    bool is_whole = false;
    uint64_t after = 0;
    DidRead did_read;
  };

  void Read(std::string_view, DidRead did_read) override {
    this->calls.push_back(Call{true, 0, std::move(did_read)});
  }
  void Follow(std::string_view,
              uint64_t version,
              Duration,
              DidRead did_read) override {
    this->calls.push_back(Call{false, version, std::move(did_read)});
  }
  void Change(std::string_view, TableChange, DidChange) override {}

  void Answer(TableRows rows) {
    const Call call = this->calls.front();
    this->calls.pop_front();
    call.did_read(std::move(rows));
  }
  void Fail(ErrorCode code) {
    const Call call = this->calls.front();
    this->calls.pop_front();
    call.did_read(Error{code, "scripted"});
  }

  std::deque<Call> calls;
};

StoreRow Row(const char* key, uint64_t version, bool is_removed = false) {
  return StoreRow{key, "value", version, is_removed};
}

}  // namespace

TEST_CASE("a copy of a table of the store") {
  VirtualScheduler scheduler;
  ScriptedStore store;
  int updates = 0;
  TableFollower follower(scheduler, store,
                         TableFollower::Options{"t", milliseconds(1500)},
                         [&] { ++updates; });
  follower.Start();
  REQUIRE(store.calls.size() == 1);
  CHECK(store.calls.front().is_whole);
  const TimePoint first_sent = scheduler.Now();
  store.Answer(TableRows{{Row("a", 3), Row("b", 4)}, 5});
  scheduler.RunFor(milliseconds(1));

  SUBCASE("takes many changes in a row with few reads") {
    follower.SetChangePause(milliseconds(80));
    store.Answer(TableRows{{Row("a", 6)}, 6});
    scheduler.RunFor(milliseconds(79));
    CHECK(store.calls.empty());
    scheduler.RunFor(milliseconds(1));
    CHECK(store.calls.size() == 1);
  }

  SUBCASE("may come from a peer that reads the store") {
    follower.SetSource(TableFollower::Source::kPeer);
    store.Answer(TableRows{{Row("late", 5)}, 6});
    scheduler.RunFor(milliseconds(10));
    CHECK(follower.version() == 5);
    CHECK(store.calls.empty());
    follower.TakeCopy(TableRows{{Row("a", 7)}, 7}, scheduler.Now());
    CHECK(follower.version() == 7);
    follower.DidHearOfStore(std::nullopt);
    CHECK_FALSE(follower.steady_since().has_value());

    SUBCASE("until the store is read again, from where the copy ended") {
      follower.SetSource(TableFollower::Source::kStore);
      REQUIRE(store.calls.size() == 1);
      CHECK(store.calls.front().after == 7);
    }
  }

  SUBCASE("is whole at first, and as old as the sending of the read") {
    CHECK(follower.rows().size() == 2);
    CHECK(follower.read_at() == first_sent);
    CHECK(updates == 1);
  }

  SUBCASE("then follows the changes") {
    REQUIRE(store.calls.size() == 1);
    CHECK(store.calls.front().after == 5);
    store.Answer(TableRows{{Row("b", 7, true), Row("c", 8)}, 8});
    CHECK(follower.rows().contains("a"));
    CHECK_FALSE(follower.rows().contains("b"));
    CHECK(follower.rows().contains("c"));

    SUBCASE("a quiet wait makes it more recent") {
      scheduler.RunFor(milliseconds(10));
      const TimePoint sent = scheduler.Now() - milliseconds(10);
      store.Answer(TableRows{{}, 8});
      CHECK(follower.read_at() >= sent);
      CHECK(updates == 3);
    }
  }

  SUBCASE("is read whole when the history is gone") {
    store.Fail(ErrorCode::kNotFound);
    scheduler.RunFor(milliseconds(1));
    REQUIRE(store.calls.size() == 1);
    CHECK(store.calls.front().is_whole);
    store.Answer(TableRows{{Row("c", 9)}, 9});
    CHECK(follower.rows().size() == 1);
  }

  SUBCASE("stays while the store is away, and is read whole on its return") {
    store.Fail(ErrorCode::kUnavailable);
    CHECK(follower.rows().size() == 2);
    CHECK_FALSE(follower.steady_since().has_value());
    scheduler.RunFor(milliseconds(249));
    CHECK(store.calls.empty());
    scheduler.RunFor(milliseconds(2));
    REQUIRE(store.calls.size() == 1);
    CHECK(store.calls.front().is_whole);
  }

  SUBCASE("never goes back to an older one of a peer") {
    follower.TakeCopy(TableRows{{Row("old", 1)}, 2}, scheduler.Now());
    CHECK_FALSE(follower.rows().contains("old"));
    follower.TakeCopy(TableRows{{Row("new", 11)}, 11}, scheduler.Now());
    CHECK(follower.rows().contains("new"));
    CHECK(follower.rows().size() == 1);
  }
}

}  // namespace kingcupmill
