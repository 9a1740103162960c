#include "LibTables/table_follower.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <memory>
#include <utility>
#include <vector>

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

TableDifference Whole(std::vector<StoreRow> rows, uint64_t version) {
  return TableDifference{TableRows{std::move(rows), version}, true};
}

// Drops each call; its owner takes copies only.
class SilentStore final : public RowStore {
 public:
  void Read(std::string_view, DidRead) override {}
  void Follow(std::string_view, uint64_t, Duration, DidRead) override {}
  void Change(std::string_view, TableChange, DidChange) override {}
};

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
    follower.TakeCopy(Whole({Row("a", 7)}, 7), scheduler.Now());
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
    follower.TakeCopy(Whole({Row("old", 1)}, 2), scheduler.Now());
    CHECK_FALSE(follower.rows().contains("old"));
    follower.TakeCopy(Whole({Row("new", 11)}, 11), scheduler.Now());
    CHECK(follower.rows().contains("new"));
    CHECK(follower.rows().size() == 1);
  }
}

TEST_CASE("a copy of a table brings another one up to date") {
  VirtualScheduler scheduler;
  ScriptedStore store;
  SilentStore silent;
  const TableFollower::Options options{"t", milliseconds(1500)};
  TableFollower reader(scheduler, store, options, [] {});
  TableFollower other(scheduler, silent, options, [] {});
  other.SetSource(TableFollower::Source::kPeer);
  reader.Start();
  store.Answer(TableRows{{Row("a", 3), Row("b", 4), Row("c", 5)}, 6});
  scheduler.RunFor(milliseconds(1));

  const auto first = reader.ChangesSince(other.version().value_or(0));
  REQUIRE(first.has_value());
  CHECK(first->is_whole);
  other.TakeCopy(*first, scheduler.Now());
  CHECK(other.rows() == reader.rows());

  SUBCASE("with the rows that changed and no others") {
    store.Answer(TableRows{{Row("b", 7, true), Row("d", 8)}, 9});
    const auto changes = reader.ChangesSince(6);
    REQUIRE(changes.has_value());
    CHECK_FALSE(changes->is_whole);
    CHECK(changes->rows.rows.size() == 2);
    other.TakeCopy(*changes, scheduler.Now());
    CHECK(other.rows() == reader.rows());
    CHECK(other.version() == 9);
    CHECK_FALSE(reader.ChangesSince(9).has_value());
  }

  SUBCASE("with nothing but the time when only other tables changed") {
    store.Answer(TableRows{{}, 20});
    CHECK_FALSE(reader.ChangesSince(6).has_value());
    scheduler.RunFor(milliseconds(5));
    other.Confirm(20, scheduler.Now());
    CHECK(other.version() == 20);
    CHECK(other.read_at() == scheduler.Now());
  }

  SUBCASE("with all rows when what was removed meanwhile is not known") {
    store.Fail(ErrorCode::kNotFound);
    scheduler.RunFor(milliseconds(1));
    store.Answer(TableRows{{Row("a", 3), Row("c", 5)}, 12});
    const auto changes = reader.ChangesSince(6);
    REQUIRE(changes.has_value());
    CHECK(changes->is_whole);
    other.TakeCopy(*changes, scheduler.Now());
    CHECK_FALSE(other.rows().contains("b"));
  }

  SUBCASE("never from changes alone") {
    TableFollower empty(scheduler, silent, options, [] {});
    empty.TakeCopy(TableDifference{TableRows{{Row("d", 8)}, 9}, false},
                   scheduler.Now());
    CHECK_FALSE(empty.version().has_value());
  }
}

TEST_CASE("copies that follow through a reader are its own at each version") {
  CHECK(rc::check([] {
    VirtualScheduler scheduler;
    ScriptedStore store;
    SilentStore silent;
    const TableFollower::Options options{"t", milliseconds(1500)};
    TableFollower reader(scheduler, store, options, [] {});
    std::vector<std::unique_ptr<TableFollower>> others;
    for (int index = 0; index < 3; ++index) {
      others.push_back(
          std::make_unique<TableFollower>(scheduler, silent, options, [] {}));
      others.back()->SetSource(TableFollower::Source::kPeer);
    }
    std::map<std::string, StoreRow> truth;
    uint64_t version = 1;
    reader.Start();
    store.Answer(TableRows{{}, version});
    scheduler.RunFor(milliseconds(1));
    for (int step = 0; step < 40; ++step) {
      std::vector<StoreRow> changes;
      const int count = *rc::gen::inRange(0, 4);
      for (int change = 0; change < count; ++change) {
        const std::string key(1, *rc::gen::inRange('a', 'f'));
        const bool is_removed = *rc::gen::arbitrary<bool>();
        const StoreRow row{key, "value", ++version, is_removed};
        changes.push_back(row);
        truth.erase(key);
        if (!is_removed)
          truth.emplace(key, row);
      }
      if (*rc::gen::inRange(0, 5) == 0) {
        // The history is gone: the table is read whole.
        store.Fail(ErrorCode::kNotFound);
        scheduler.RunFor(milliseconds(1));
        changes.clear();
        for (const auto& [key, row] : truth)
          changes.push_back(row);
      }
      store.Answer(TableRows{changes, ++version});
      scheduler.RunFor(milliseconds(1));
      TableFollower& other = *others.at(*rc::gen::inRange<size_t>(0, 3));
      const auto difference = reader.ChangesSince(other.version().value_or(0));
      if (difference)
        other.TakeCopy(*difference, scheduler.Now());
      else
        other.Confirm(*reader.version(), scheduler.Now());
      RC_ASSERT(other.rows() == reader.rows());
      RC_ASSERT(other.rows() == truth);
    }
  }));
}

}  // namespace kingcupmill
