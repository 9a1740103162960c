#include "LibRelay/home_chooser.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const PlaceName kOwnPlace{"accra-a"};
const PlaceName kOtherPlace{"tema-c"};

std::vector<Home> MakeHomes() {
  return {{"a", kOwnPlace}, {"b", kOwnPlace}, {"c", kOtherPlace}};
}

}  // namespace

TEST_CASE("the home that a statement is forwarded to") {
  HomeChooser chooser(kOwnPlace, 7);
  const std::vector<Home> homes = MakeHomes();
  const TimePoint now{seconds(100)};

  SUBCASE("is one of the same place") {
    for (int turn = 0; turn < 20; ++turn)
      CHECK(chooser.Choose(homes, {}, {}, now) != "c");
  }

  SUBCASE("is the one with fewer unanswered queries") {
    chooser.DidSend("a", now);
    CHECK(chooser.Choose(homes, {}, {}, now) == "b");

    SUBCASE("until it has answered") {
      chooser.DidAnswer("a", now);
      chooser.DidSend("b", now);
      CHECK(chooser.Choose(homes, {}, {}, now) == "a");
    }
  }

  SUBCASE("of a customer") {
    const CustomerName customer{"harbour"};
    std::vector<Home> own;
    for (const char* address : {"a", "b", "c", "d"})
      own.push_back({address, kOwnPlace});
    own.push_back({"e", kOtherPlace});
    const std::string first = *chooser.Choose(own, {}, customer, now);

    SUBCASE("is the same for all proxies of the place") {
      // Otherwise each home has to open connections for all customers.
      for (uint64_t seed = 0; seed < 20; ++seed)
        CHECK(HomeChooser(kOwnPlace, seed).Choose(own, {}, customer, now) ==
              first);
    }

    SUBCASE("differs between customers") {
      std::map<std::string, int> customers_by_home;
      for (int number = 0; number < 82; ++number) {
        const CustomerName any{"customer-" + std::to_string(number)};
        ++customers_by_home[*chooser.Choose(own, {}, any, now)];
      }
      CHECK(customers_by_home.size() == 4);
      for (const auto& [address, count] : customers_by_home)
        CHECK(count >= 10);
    }

    SUBCASE("is kept while it is little busier than the others") {
      for (int query = 0; query < 4; ++query)
        chooser.DidSend(first, now);
      CHECK(chooser.Choose(own, {}, customer, now) == first);
      chooser.DidSend(first, now);
      const std::string second = *chooser.Choose(own, {}, customer, now);
      CHECK(second != first);
      CHECK(second != "e");
      chooser.DidAnswer(first, now);
      CHECK(chooser.Choose(own, {}, customer, now) == first);
    }

    SUBCASE("is the next one in the customer's order when it is lost") {
      chooser.DidSend(first, now);
      chooser.DidFail(first, now);
      const std::string second = *chooser.Choose(own, {}, customer, now);
      CHECK(second != first);
      for (uint64_t seed = 0; seed < 20; ++seed)
        CHECK(
            HomeChooser(kOwnPlace, seed).Choose(own, {first}, customer, now) ==
            second);
    }

    SUBCASE("is in the own place while one of its homes works") {
      CHECK(chooser.Choose(own, {"a", "b", "c"}, customer, now) == "d");
      CHECK(chooser.Choose(own, {"a", "b", "c", "d"}, customer, now) == "e");
    }
  }

  SUBCASE("is always the same while it has no unanswered query") {
    // Otherwise a starting proxy with twenty groups of ten homes elsewhere
    // would open links to all homes instead of one per group.
    std::vector<Home> elsewhere;
    elsewhere.reserve(10);
    for (int number = 0; number < 10; ++number)
      elsewhere.push_back({"home-" + std::to_string(number), kOtherPlace});
    const auto first = chooser.Choose(elsewhere, {}, {}, now);
    for (int turn = 0; turn < 50; ++turn)
      CHECK(chooser.Choose(elsewhere, {}, {}, now) == first);

    SUBCASE("and many proxies spread evenly") {
      std::map<std::string, int> chosen;
      for (uint64_t seed = 0; seed < 300; ++seed)
        ++chosen[*HomeChooser(kOwnPlace, seed).Choose(elsewhere, {}, {}, now)];
      CHECK(chosen.size() == 10);
      for (const auto& [home, count] : chosen)
        CHECK(count < 60);
    }
  }

  SUBCASE("is not one that has just failed") {
    chooser.DidSend("a", now);
    chooser.DidFail("a", now);
    CHECK(chooser.Choose(homes, {}, {}, now) == "b");

    SUBCASE(
        "but one of another place when all of this place failed or declined") {
      chooser.DidSend("b", now);
      chooser.DidDecline("b", now);
      CHECK(chooser.Choose(homes, {}, {}, now) == "c");
      CHECK_FALSE(chooser.Choose(homes, {"c"}, {}, now).has_value());
    }

    SUBCASE("and is tried again later") {
      CHECK(chooser.Choose(homes, {"b", "c"}, {}, now + seconds(1)) == "a");
    }
  }

  SUBCASE("is not an excluded one") {
    CHECK(chooser.Choose(homes, {"a", "b"}, {}, now) == "c");
  }

  SUBCASE("reports how long all homes have been silent") {
    CHECK(chooser.Silence(now) == Duration(0));
    chooser.DidSend("a", now);
    chooser.DidSend("b", now + milliseconds(100));
    CHECK(chooser.Silence(now + milliseconds(600)) == milliseconds(600));

    SUBCASE("until any home answers") {
      chooser.DidAnswer("b", now + milliseconds(600));
      CHECK(chooser.Silence(now + milliseconds(700)) == milliseconds(100));
      chooser.DidAnswer("a", now + milliseconds(700));
      CHECK(chooser.Silence(now + milliseconds(900)) == Duration(0));
    }

    SUBCASE("and a failed query does not end the silence") {
      chooser.DidFail("a", now + milliseconds(800));
      CHECK(chooser.Silence(now + milliseconds(900)) == milliseconds(900));
    }
  }

  SUBCASE("a home that is five times slower gets a small share of a burst") {
    // One statement arrives per millisecond turn; the fast home answers after 8
    // turns and the slow one after 40.
    const std::vector<Home> pair = {{"fast", kOwnPlace}, {"slow", kOwnPlace}};
    const std::map<std::string, int> service = {{"fast", 8}, {"slow", 40}};
    std::multimap<int, std::string> answer_by_turn;
    std::map<std::string, int> sent;
    for (int turn = 0; turn < 2000; ++turn) {
      while (!answer_by_turn.empty() && answer_by_turn.begin()->first <= turn) {
        chooser.DidAnswer(answer_by_turn.begin()->second, now);
        answer_by_turn.erase(answer_by_turn.begin());
      }
      const std::string home = *chooser.Choose(pair, {}, {}, now);
      chooser.DidSend(home, now);
      ++sent[home];
      answer_by_turn.emplace(turn + service.at(home), home);
    }
    // A random choice would send half of them to the slow home.
    CHECK(sent["slow"] * 4 < sent["fast"]);
  }
}

}  // namespace kingcupmill
