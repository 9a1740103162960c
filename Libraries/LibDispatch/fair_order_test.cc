#include "LibDispatch/fair_order.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "LibCore/random_source.h"

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;
using Numbers = std::vector<FairOrder::RequestNumber>;

constexpr TimePoint kStart{std::chrono::seconds(100)};

FairOrder::Entry Entry(FairOrder::RequestNumber number,
                       const char* customer = "",
                       double weight = 1,
                       int due_ms = 100) {
  return FairOrder::Entry{
      0,     0, CustomerName{customer}, weight, kStart + milliseconds(due_ms),
      number};
}

}  // namespace

TEST_CASE("the order of waiting requests") {
  FairOrder order;

  SUBCASE("is priority, due time, number without customers") {
    using Key = std::tuple<int, TimePoint, FairOrder::RequestNumber>;
    SeededRandom random(3);
    std::map<Key, FairOrder::Entry> expected;
    for (FairOrder::RequestNumber number = 1; number <= 2000; ++number) {
      FairOrder::Entry entry =
          Entry(number, "", 1, static_cast<int>(random.Below(50)));
      entry.route_priority = static_cast<int>(random.Below(3));
      order.Add(entry);
      expected.emplace(Key(entry.route_priority, entry.due_at, number), entry);
      // Starts and removals, in order and out of order, change nothing.
      if (number % 3 == 0) {
        const auto first = expected.begin();
        order.Start(first->second);
        expected.erase(first);
      }
      if (number % 7 == 0) {
        const auto any = std::next(
            expected.begin(),
            static_cast<std::ptrdiff_t>(random.Below(expected.size())));
        if (number % 2 == 0)
          order.Start(any->second);
        else
          order.Remove(any->second);
        expected.erase(any);
      }
      Numbers numbers;
      for (const auto& [key, waiting] : expected)
        numbers.push_back(waiting.number);
      REQUIRE(order.InOrder() == numbers);
    }
  }

  SUBCASE("is by the priority of the route, then by that of the customer") {
    FairOrder::Entry entry = Entry(1, "a");
    entry.route_priority = 1;
    order.Add(entry);
    entry = Entry(2, "b");
    entry.customer_priority = 1;
    order.Add(entry);
    order.Add(Entry(3, "c", 1, 200));
    CHECK(order.InOrder() == Numbers{3, 2, 1});
  }

  SUBCASE("gives starts in proportion to the weights") {
    for (FairOrder::RequestNumber number = 1; number <= 200; ++number)
      order.Add(Entry(number, number % 2 == 0 ? "heavy" : "light",
                      number % 2 == 0 ? 3 : 1));
    int heavy = 0;
    for (int start = 0; start < 80; ++start) {
      const auto number = order.InOrder().front();
      heavy += number % 2 == 0 ? 1 : 0;
      order.Start(Entry(number, number % 2 == 0 ? "heavy" : "light",
                        number % 2 == 0 ? 3 : 1));
    }
    CHECK(heavy >= 57);
    CHECK(heavy <= 63);
  }

  SUBCASE("puts a few requests of a customer before the backlog of another") {
    for (FairOrder::RequestNumber number = 1; number <= 100; ++number)
      order.Add(Entry(number, "hot", 10, 50));
    for (FairOrder::RequestNumber number = 1; number <= 20; ++number)
      order.Start(Entry(number, "hot", 10, 50));
    order.Add(Entry(101, "small", 0.5, 150));
    order.Add(Entry(102, "small", 0.5, 160));
    const Numbers numbers = order.InOrder();
    CHECK(Numbers(numbers.begin(), numbers.begin() + 2) == Numbers{101, 102});

    SUBCASE("but does not let it save up more while it waits") {
      for (FairOrder::RequestNumber number = 103; number <= 130; ++number)
        order.Add(Entry(number, "small", 0.5, 170));
      for (FairOrder::RequestNumber number = 21; number <= 100; ++number)
        order.Start(Entry(number, "hot", 10, 50));
      for (FairOrder::RequestNumber number = 131; number <= 200; ++number)
        order.Add(Entry(number, "hot", 10, 200));
      const Numbers later = order.InOrder();
      const auto is_small = [](auto number) {
        return number >= 101 && number <= 130;
      };
      CHECK(std::count_if(later.begin(), later.begin() + 20, is_small) <= 6);
    }
  }

  SUBCASE("has the place of each request that a forecast counts") {
    SeededRandom random(5);
    std::map<FairOrder::RequestNumber, FairOrder::Entry> waiting;
    const std::vector<std::string> customers = {"a", "b", "c", "d"};
    for (FairOrder::RequestNumber number = 1; number <= 600; ++number) {
      const size_t customer = random.Below(customers.size());
      FairOrder::Entry entry = Entry(number, customers[customer].c_str(),
                                     0.3 * static_cast<double>(customer + 1),
                                     static_cast<int>(random.Below(5)));
      entry.customer_priority = customer == 3 ? 1 : 0;
      entry.route_priority = static_cast<int>(random.Below(2));
      order.Add(entry);
      waiting.emplace(number, entry);
      const Numbers numbers = order.InOrder();
      for (size_t index = 0; index < numbers.size(); ++index)
        REQUIRE(order.CountBefore(waiting.at(numbers[index])) == index);
      if (number % 4 == 0) {
        order.Start(waiting.at(numbers.front()));
        waiting.erase(numbers.front());
      }
      if (number % 3 == 0 && !waiting.empty()) {
        order.Remove(waiting.begin()->second);
        waiting.erase(waiting.begin());
      }
      REQUIRE(order.size() == waiting.size());
    }
  }
}

}  // namespace kingcupmill
