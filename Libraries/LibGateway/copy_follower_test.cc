#include "LibGateway/copy_follower.h"

#include <doctest/doctest.h>

#include "LibCore/virtual_scheduler.h"
#include "LibGateway/copy_desk.h"
#include "LibPeer/scripted_peer_links.h"

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

CopyAnswer CopyOf(uint64_t version, bool has_rows) {
  TableCopy copy;
  copy.table = "t";
  copy.version = version;
  if (has_rows)
    copy.difference = TableDifference{TableRows{{}, version}, true};
  CopyAnswer answer;
  answer.tables.push_back(copy);
  return answer;
}

}  // namespace

TEST_CASE("a proxy that follows the store through others") {
  VirtualScheduler scheduler;
  scheduler.RunFor(seconds(100));
  ScriptedPeerLinks peers;
  int received = 0;
  CopyFollower follower(
      scheduler, peers, [] { return std::vector<uint64_t>{3}; },
      [&](const CopyAnswer&, TimePoint) { ++received; });
  follower.SetReaders({"a", "b"});
  REQUIRE(peers.questions.size() == 1);
  CHECK(peers.questions.front().address == "a");
  CHECK(peers.Oldest<CopyQuery>().versions == std::vector<uint64_t>{3});

  SUBCASE("asks again after each answer") {
    peers.Answer(CopyOf(4, true));
    CHECK(received == 1);
    scheduler.RunFor(milliseconds(1));
    REQUIRE(peers.questions.size() == 1);
    CHECK(peers.questions.front().address == "a");
  }

  SUBCASE("asks the other reader when one does not answer") {
    peers.Answer(std::nullopt);
    scheduler.RunFor(milliseconds(60));
    REQUIRE(peers.questions.size() == 1);
    CHECK(peers.questions.front().address == "b");
    CHECK(follower.is_working());

    SUBCASE("and says so when none does") {
      peers.Answer(std::nullopt);
      scheduler.RunFor(milliseconds(60));
      CHECK(peers.questions.empty());
      CHECK_FALSE(follower.is_working());

      SUBCASE("for a while") {
        scheduler.RunFor(seconds(5));
        CHECK(follower.is_working());
        CHECK(peers.questions.size() == 1);
      }
    }
  }

  SUBCASE("ignores answers of readers that it follows no more") {
    follower.SetReaders({});
    peers.Answer(CopyOf(4, true));
    scheduler.RunFor(seconds(1));
    CHECK(received == 0);
    CHECK(peers.questions.empty());
  }
}

TEST_CASE("a proxy that reads the store for others") {
  VirtualScheduler scheduler;
  uint64_t version = 3;
  CopyDesk desk(scheduler, [&](const CopyQuery& query) {
    return CopyOf(version, version > query.versions.at(0));
  });
  int answers = 0;
  Duration held{};
  const auto count = [&](const PeerAnswer& answer) {
    ++answers;
    held = std::get<CopyAnswer>(answer).held;
  };

  SUBCASE("answers at once when it knows more") {
    desk.Handle(CopyQuery{{2}, seconds(2)}, count);
    CHECK(answers == 1);
  }

  SUBCASE("answers at once when the asker does not wait") {
    desk.Handle(CopyQuery{{3}, Duration(0)}, count);
    CHECK(answers == 1);
  }

  SUBCASE("holds the question otherwise") {
    desk.Handle(CopyQuery{{3}, seconds(2)}, count);
    scheduler.RunFor(seconds(1));
    desk.Tick();
    CHECK(answers == 0);

    SUBCASE("until it has read the store again") {
      desk.DidRead();
      CHECK(answers == 1);
      CHECK(desk.waiting_count() == 0);
      // Otherwise the copy would look older by that.
      CHECK(held == seconds(1));
    }

    SUBCASE("for as long as the asker wanted") {
      scheduler.RunFor(seconds(1));
      desk.Tick();
      CHECK(answers == 1);
    }
  }
}

}  // namespace kingcupmill
