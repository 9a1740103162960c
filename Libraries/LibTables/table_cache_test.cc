#include "LibTables/table_cache.h"

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

// Records the calls; the test answers them one by one.
class ScriptedStore final : public RowStore {
 public:
  struct Call {
    bool is_snapshot = false;
    uint64_t after = 0;
    DidRead did_read;
  };

  void Read(std::string_view, DidRead did_read) override {
    this->calls.push_back(Call{true, 0, std::move(did_read)});
  }
  void PollChanges(std::string_view,
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

TableDelta Whole(std::vector<StoreRow> rows, uint64_t version) {
  return TableDelta{TableRows{std::move(rows), version}, true};
}

// Never answers; for a cache that only receives copies.
class UnresponsiveStore final : public RowStore {
 public:
  void Read(std::string_view, DidRead) override {}
  void PollChanges(std::string_view, uint64_t, Duration, DidRead) override {}
  void Change(std::string_view, TableChange, DidChange) override {}
};

}  // namespace

TEST_CASE("a cached table of the store") {
  VirtualScheduler scheduler;
  ScriptedStore store;
  int updates = 0;
  TableCache cache(scheduler, store,
                   TableCache::Options{"t", milliseconds(1500)},
                   [&] { ++updates; });
  cache.Start();
  REQUIRE(store.calls.size() == 1);
  CHECK(store.calls.front().is_snapshot);
  const TimePoint first_sent = scheduler.Now();
  store.Answer(TableRows{{Row("a", 3), Row("b", 4)}, 5});
  scheduler.RunFor(milliseconds(1));

  SUBCASE("is read once for a burst of changes") {
    cache.SetChangePause(milliseconds(80));
    store.Answer(TableRows{{Row("a", 6)}, 6});
    scheduler.RunFor(milliseconds(79));
    CHECK(store.calls.empty());
    scheduler.RunFor(milliseconds(1));
    CHECK(store.calls.size() == 1);
  }

  SUBCASE("can come from a peer that reads the store") {
    cache.SetSource(TableCache::Source::kPeer);
    store.Answer(TableRows{{Row("late", 5)}, 6});
    scheduler.RunFor(milliseconds(10));
    CHECK(cache.version() == 5);
    CHECK(store.calls.empty());
    cache.ApplyDelta(Whole({Row("a", 7)}, 7), scheduler.Now());
    CHECK(cache.version() == 7);
    cache.SetAvailableSince(std::nullopt);
    CHECK_FALSE(cache.available_since().has_value());

    SUBCASE("and the store is then polled from the version of that copy") {
      cache.SetSource(TableCache::Source::kStore);
      REQUIRE(store.calls.size() == 1);
      CHECK(store.calls.front().after == 7);
    }
  }

  SUBCASE("is complete at first, and as of when the read was sent") {
    CHECK(cache.rows().size() == 2);
    CHECK(cache.read_at() == first_sent);
    CHECK(updates == 1);
  }

  SUBCASE("is then updated by changes") {
    REQUIRE(store.calls.size() == 1);
    CHECK(store.calls.front().after == 5);
    store.Answer(TableRows{{Row("b", 7, true), Row("c", 8)}, 8});
    CHECK(cache.rows().contains("a"));
    CHECK_FALSE(cache.rows().contains("b"));
    CHECK(cache.rows().contains("c"));

    SUBCASE("and is more recent after a poll without changes") {
      scheduler.RunFor(milliseconds(10));
      const TimePoint sent = scheduler.Now() - milliseconds(10);
      store.Answer(TableRows{{}, 8});
      CHECK(cache.read_at() >= sent);
      CHECK(updates == 3);
    }
  }

  SUBCASE("is read in full when the store has discarded the changes") {
    store.Fail(ErrorCode::kNotFound);
    scheduler.RunFor(milliseconds(1));
    REQUIRE(store.calls.size() == 1);
    CHECK(store.calls.front().is_snapshot);
    store.Answer(TableRows{{Row("c", 9)}, 9});
    CHECK(cache.rows().size() == 1);
  }

  SUBCASE("stays while the store is unavailable and is then read in full") {
    store.Fail(ErrorCode::kUnavailable);
    CHECK(cache.rows().size() == 2);
    CHECK_FALSE(cache.available_since().has_value());
    scheduler.RunFor(milliseconds(249));
    CHECK(store.calls.empty());
    scheduler.RunFor(milliseconds(2));
    REQUIRE(store.calls.size() == 1);
    CHECK(store.calls.front().is_snapshot);
  }

  // Guards against a copy that ignores a store whose version numbers went back,
  // and polls it without a pause.
  SUBCASE("follows a store that was restored from a backup") {
    const uint64_t restored = MakeStoreVersion(1, 3);
    store.Fail(ErrorCode::kNotFound);
    scheduler.RunFor(milliseconds(1));
    store.Answer(TableRows{{Row("c", restored)}, restored});
    scheduler.RunFor(milliseconds(1));
    CHECK(cache.rows().size() == 1);
    CHECK(cache.rows().contains("c"));
    REQUIRE(store.calls.size() == 1);
    CHECK(store.calls.front().after == restored);

    SUBCASE("and counts as available only since then") {
      CHECK(cache.available_since() == scheduler.Now() - milliseconds(1));
    }

    SUBCASE("and passes it on to a peer with a copy from before") {
      const auto delta = cache.ChangesSince(5);
      REQUIRE(delta.has_value());
      CHECK(delta->is_snapshot);
    }

    SUBCASE("and ignores a copy from before in a peer") {
      cache.ApplyDelta(Whole({Row("old", 900)}, 900), scheduler.Now());
      CHECK_FALSE(cache.rows().contains("old"));
    }
  }

  SUBCASE("pauses after an answer that is older than the copy") {
    store.Fail(ErrorCode::kNotFound);
    scheduler.RunFor(milliseconds(1));
    store.Answer(TableRows{{}, 3});
    scheduler.RunFor(milliseconds(100));
    CHECK(cache.rows().size() == 2);
    CHECK(store.calls.empty());
    scheduler.RunFor(milliseconds(200));
    CHECK(store.calls.size() == 1);
  }

  SUBCASE("is never replaced by an older copy from a peer") {
    cache.ApplyDelta(Whole({Row("old", 1)}, 2), scheduler.Now());
    CHECK_FALSE(cache.rows().contains("old"));
    cache.ApplyDelta(Whole({Row("new", 11)}, 11), scheduler.Now());
    CHECK(cache.rows().contains("new"));
    CHECK(cache.rows().size() == 1);
  }
}

TEST_CASE("a cached table updates a copy in a peer") {
  VirtualScheduler scheduler;
  ScriptedStore store;
  UnresponsiveStore unresponsive;
  const TableCache::Options options{"t", milliseconds(1500)};
  TableCache reader(scheduler, store, options, [] {});
  TableCache peer(scheduler, unresponsive, options, [] {});
  peer.SetSource(TableCache::Source::kPeer);
  reader.Start();
  store.Answer(TableRows{{Row("a", 3), Row("b", 4), Row("c", 5)}, 6});
  scheduler.RunFor(milliseconds(1));

  const auto first = reader.ChangesSince(peer.version().value_or(0));
  REQUIRE(first.has_value());
  CHECK(first->is_snapshot);
  peer.ApplyDelta(*first, scheduler.Now());
  CHECK(peer.rows() == reader.rows());

  SUBCASE("with only the rows that changed") {
    store.Answer(TableRows{{Row("b", 7, true), Row("d", 8)}, 9});
    const auto changes = reader.ChangesSince(6);
    REQUIRE(changes.has_value());
    CHECK_FALSE(changes->is_snapshot);
    CHECK(changes->rows.rows.size() == 2);
    peer.ApplyDelta(*changes, scheduler.Now());
    CHECK(peer.rows() == reader.rows());
    CHECK(peer.version() == 9);
    CHECK_FALSE(reader.ChangesSince(9).has_value());
  }

  SUBCASE("with only version and time when other tables changed") {
    store.Answer(TableRows{{}, 20});
    CHECK_FALSE(reader.ChangesSince(6).has_value());
    scheduler.RunFor(milliseconds(5));
    peer.ConfirmVersion(20, scheduler.Now());
    CHECK(peer.version() == 20);
    CHECK(peer.read_at() == scheduler.Now());
  }

  SUBCASE("with all rows when the removed rows are not known") {
    store.Fail(ErrorCode::kNotFound);
    scheduler.RunFor(milliseconds(1));
    store.Answer(TableRows{{Row("a", 3), Row("c", 5)}, 12});
    const auto changes = reader.ChangesSince(6);
    REQUIRE(changes.has_value());
    CHECK(changes->is_snapshot);
    peer.ApplyDelta(*changes, scheduler.Now());
    CHECK_FALSE(peer.rows().contains("b"));
  }

  SUBCASE("but not with changes alone if the peer has no copy") {
    TableCache empty(scheduler, unresponsive, options, [] {});
    empty.ApplyDelta(TableDelta{TableRows{{Row("d", 8)}, 9}, false},
                     scheduler.Now());
    CHECK_FALSE(empty.version().has_value());
  }
}

TEST_CASE("copies from a store reader equal its own at each version") {
  CHECK(rc::check([] {
    VirtualScheduler scheduler;
    ScriptedStore store;
    UnresponsiveStore unresponsive;
    const TableCache::Options options{"t", milliseconds(1500)};
    TableCache reader(scheduler, store, options, [] {});
    std::vector<std::unique_ptr<TableCache>> peers;
    for (int index = 0; index < 3; ++index) {
      peers.push_back(std::make_unique<TableCache>(scheduler, unresponsive,
                                                   options, [] {}));
      peers.back()->SetSource(TableCache::Source::kPeer);
    }
    std::map<std::string, StoreRow> expected_rows;
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
        expected_rows.erase(key);
        if (!is_removed)
          expected_rows.emplace(key, row);
      }
      if (*rc::gen::inRange(0, 5) == 0) {
        // The store has discarded the changes, so the whole table is read.
        store.Fail(ErrorCode::kNotFound);
        scheduler.RunFor(milliseconds(1));
        changes.clear();
        for (const auto& [key, row] : expected_rows)
          changes.push_back(row);
      }
      store.Answer(TableRows{changes, ++version});
      scheduler.RunFor(milliseconds(1));
      TableCache& peer = *peers.at(*rc::gen::inRange<size_t>(0, 3));
      const auto delta = reader.ChangesSince(peer.version().value_or(0));
      if (delta)
        peer.ApplyDelta(*delta, scheduler.Now());
      else
        peer.ConfirmVersion(*reader.version(), scheduler.Now());
      RC_ASSERT(peer.rows() == reader.rows());
      RC_ASSERT(peer.rows() == expected_rows);
    }
  }));
}

// Guards against a copy that stays old because each dead connection is found
// out by a time-out and followed by a pause of its own.
TEST_CASE("a cached table whose poll gets no response") {
  VirtualScheduler scheduler;
  ScriptedStore store;
  std::vector<TimePoint> timed_out;
  TableCache cache(
      scheduler, store, TableCache::Options{"t", milliseconds(1500)}, [] {},
      [&](TimePoint sent_at) { timed_out.push_back(sent_at); });
  cache.Start();
  const TimePoint opened_at = scheduler.Now();
  scheduler.RunFor(milliseconds(5));
  store.Answer(TableRows{{Row("a", 3)}, 5});
  const TimePoint polled_at = scheduler.Now();
  scheduler.RunFor(milliseconds(1));
  REQUIRE(store.calls.size() == 1);

  SUBCASE("is read again at once") {
    store.Fail(ErrorCode::kTimeout);
    scheduler.RunFor(milliseconds(1));
    REQUIRE(store.calls.size() == 1);
    CHECK(store.calls.front().is_snapshot);
    CHECK(timed_out == std::vector<TimePoint>{polled_at});
    CHECK_FALSE(cache.available_since().has_value());

    SUBCASE("and after a pause if that fails too") {
      store.Fail(ErrorCode::kTimeout);
      scheduler.RunFor(milliseconds(249));
      CHECK(store.calls.empty());
      scheduler.RunFor(milliseconds(2));
      CHECK(store.calls.size() == 1);
      CHECK(timed_out.size() == 1);
    }
  }

  SUBCASE("is read after a pause if the store rejected the poll") {
    store.Fail(ErrorCode::kUnavailable);
    scheduler.RunFor(milliseconds(1));
    CHECK(store.calls.empty());
    CHECK(timed_out.empty());
  }

  SUBCASE("is read again when a call sent since it connected has timed out") {
    cache.ReplaceConnectionFrom(opened_at + milliseconds(1));
    REQUIRE(store.calls.size() == 2);
    CHECK(store.calls.back().is_snapshot);

    SUBCASE("and ignores the answer to the poll") {
      store.Answer(TableRows{{Row("a", 6)}, 6});
      CHECK(cache.version() == 5);
      store.Answer(TableRows{{Row("a", 7)}, 7});
      CHECK(cache.version() == 7);
    }
  }

  SUBCASE("keeps a connection that was opened later") {
    cache.ReplaceConnectionFrom(opened_at);
    CHECK(store.calls.size() == 1);
  }
}

}  // namespace kingcupmill
