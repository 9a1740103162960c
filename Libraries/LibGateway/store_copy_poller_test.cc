#include "LibGateway/store_copy_poller.h"

#include <doctest/doctest.h>

#include "LibCore/virtual_scheduler.h"
#include "LibGateway/store_copy_server.h"
#include "LibPeer/scripted_peer_links.h"

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

StoreCopyAnswer CopyOf(uint64_t version, bool has_rows) {
  TableCopy copy;
  copy.table = "t";
  copy.version = version;
  if (has_rows)
    copy.delta = TableDelta{TableRows{{}, version}, true};
  StoreCopyAnswer answer;
  answer.tables.push_back(copy);
  return answer;
}

}  // namespace

TEST_CASE("a poller of store copies") {
  VirtualScheduler scheduler;
  scheduler.RunFor(seconds(100));
  ScriptedPeerLinks peers;
  int received = 0;
  StoreCopyPoller poller(
      scheduler, peers, [] { return std::vector<uint64_t>{3}; },
      [&](const StoreCopyAnswer&, TimePoint) { ++received; });
  poller.SetReaders({"a", "b"});
  REQUIRE(peers.pending_queries.size() == 1);
  CHECK(peers.pending_queries.front().address == "a");
  CHECK(peers.Oldest<StoreCopyQuery>().versions == std::vector<uint64_t>{3});

  SUBCASE("polls again after each answer") {
    peers.Answer(CopyOf(4, true));
    CHECK(received == 1);
    scheduler.RunFor(milliseconds(1));
    REQUIRE(peers.pending_queries.size() == 1);
    CHECK(peers.pending_queries.front().address == "a");
  }

  // Guards against a reader that is given up because a connection to it died.
  SUBCASE("asks the reader at once on a new link when it does not answer") {
    peers.Answer(std::nullopt);
    scheduler.RunFor(milliseconds(1));
    REQUIRE(peers.pending_queries.size() == 1);
    CHECK(peers.pending_queries.front().address == "a");
    CHECK(peers.Oldest<StoreCopyQuery>().wait == Duration(0));
    CHECK(poller.has_responsive_reader());

    SUBCASE("and goes on with long polls to it when it does") {
      peers.Answer(CopyOf(4, true));
      scheduler.RunFor(milliseconds(1));
      REQUIRE(peers.pending_queries.size() == 1);
      CHECK(peers.pending_queries.front().address == "a");
      CHECK(peers.Oldest<StoreCopyQuery>().wait > Duration(0));
    }
  }

  SUBCASE("polls the other reader at once when the first is not reached") {
    peers.Answer(NotSent{});
    scheduler.RunFor(milliseconds(60));
    REQUIRE(peers.pending_queries.size() == 1);
    CHECK(peers.pending_queries.front().address == "b");
  }

  SUBCASE("polls the other reader when the first does not answer twice") {
    peers.Answer(std::nullopt);
    scheduler.RunFor(milliseconds(1));
    peers.Answer(std::nullopt);
    scheduler.RunFor(milliseconds(60));
    REQUIRE(peers.pending_queries.size() == 1);
    CHECK(peers.pending_queries.front().address == "b");
    CHECK(peers.Oldest<StoreCopyQuery>().wait == Duration(0));
    CHECK(poller.has_responsive_reader());

    SUBCASE("and reports no responsive reader when none answers") {
      peers.Answer(std::nullopt);
      scheduler.RunFor(milliseconds(1));
      peers.Answer(std::nullopt);
      scheduler.RunFor(milliseconds(60));
      CHECK(peers.pending_queries.empty());
      CHECK_FALSE(poller.has_responsive_reader());

      SUBCASE("until the retry delay has passed") {
        scheduler.RunFor(seconds(5));
        CHECK(poller.has_responsive_reader());
        CHECK(peers.pending_queries.size() == 1);
      }
    }
  }

  SUBCASE("ignores answers from readers that were removed") {
    poller.SetReaders({});
    peers.Answer(CopyOf(4, true));
    scheduler.RunFor(seconds(1));
    CHECK(received == 0);
    CHECK(peers.pending_queries.empty());
  }
}

TEST_CASE("a server of store copies") {
  VirtualScheduler scheduler;
  uint64_t version = 3;
  StoreCopyServer server(scheduler, [&](const StoreCopyQuery& query) {
    return CopyOf(version, version > query.versions.at(0));
  });
  int answers = 0;
  Duration held{};
  const auto count = [&](const PeerAnswer& answer) {
    ++answers;
    held = std::get<StoreCopyAnswer>(answer).held;
  };

  SUBCASE("answers at once when it has a newer version") {
    server.Handle(StoreCopyQuery{{2}, seconds(2)}, count);
    CHECK(answers == 1);
  }

  SUBCASE("answers at once when the query does not wait") {
    server.Handle(StoreCopyQuery{{3}, Duration(0)}, count);
    CHECK(answers == 1);
  }

  SUBCASE("holds other queries") {
    server.Handle(StoreCopyQuery{{3}, seconds(2)}, count);
    scheduler.RunFor(seconds(1));
    server.Tick();
    CHECK(answers == 0);

    SUBCASE("until the store has been read again") {
      server.DidRead();
      CHECK(answers == 1);
      CHECK(server.pending_count() == 0);
      // Without the time that the query was held, the copy would look older
      // than it is.
      CHECK(held == seconds(1));
    }

    SUBCASE("until the wait of the query has elapsed") {
      scheduler.RunFor(seconds(1));
      server.Tick();
      CHECK(answers == 1);
    }
  }
}

}  // namespace kingcupmill
