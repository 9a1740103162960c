#include "LibRequests/slot_queue.h"

#include <doctest/doctest.h>

#include <string>

namespace kingcupmill {

namespace {

using Queue = SlotQueue<std::string>;

const TimePoint kStart{std::chrono::hours(1)};

Queue::Entry MakeEntry(const char* application,
                       Priority priority,
                       int64_t deadline_ms,
                       std::string work) {
  return {ApplicationName{application}, priority,
          kStart + Milliseconds(deadline_ms), std::move(work)};
}

std::string PopWork(Queue& queue) {
  auto entry = queue.Pop();
  if (!entry)
    return "";
  queue.DidFinish(Milliseconds(1));
  return entry->work;
}

}  // namespace

TEST_CASE("A slot queue schedules the work for a target") {
  Queue queue{Queue::Options{}};

  SUBCASE("runs at most as many items as there are slots") {
    for (int index = 0; index < 3; ++index) {
      CHECK_FALSE(queue.Push(
          kStart, MakeEntry("shop", Priority::kOrdinary, 1000, "work")));
    }
    CHECK(queue.Pop());
    CHECK(queue.Pop());
    CHECK_FALSE(queue.Pop());
    queue.DidFinish(Milliseconds(1));
    CHECK(queue.Pop());
  }
  SUBCASE("urgent work runs before ordinary work without starving it") {
    queue.Push(kStart, MakeEntry("list", Priority::kOrdinary, 1000, "list"));
    for (int index = 0; index < 6; ++index)
      queue.Push(kStart, MakeEntry("shop", Priority::kUrgent, 1000, "order"));
    for (int index = 0; index < 4; ++index)
      CHECK(PopWork(queue) == "order");
    CHECK(PopWork(queue) == "list");
    CHECK(PopWork(queue) == "order");
  }
  SUBCASE("applications of one class take turns") {
    for (int index = 0; index < 3; ++index)
      queue.Push(kStart, MakeEntry("a", Priority::kOrdinary, 1000, "a"));
    queue.Push(kStart, MakeEntry("b", Priority::kOrdinary, 1000, "b"));
    CHECK(PopWork(queue) == "a");
    CHECK(PopWork(queue) == "b");
    CHECK(PopWork(queue) == "a");
  }
  SUBCASE("the work of an application runs in the order of its deadlines") {
    queue.Push(kStart, MakeEntry("a", Priority::kOrdinary, 900, "late"));
    queue.Push(kStart, MakeEntry("a", Priority::kOrdinary, 100, "soon"));
    CHECK(PopWork(queue) == "soon");
  }
  SUBCASE("work that cannot meet its deadline is rejected immediately") {
    for (int index = 0; index < 100; ++index)
      queue.Push(kStart, MakeEntry("a", Priority::kOrdinary, 5000, "work"));
    CHECK(queue.Push(kStart, MakeEntry("a", Priority::kOrdinary, 10, "work")));
    CHECK_FALSE(
        queue.Push(kStart, MakeEntry("a", Priority::kUrgent, 10, "work")));
  }
  SUBCASE("expired work is removed and returned") {
    queue.Push(kStart, MakeEntry("a", Priority::kOrdinary, 10, "work"));
    CHECK(queue.TakeExpired(kStart + Milliseconds(9)).empty());
    CHECK(queue.TakeExpired(kStart + Milliseconds(10)).size() == 1);
    CHECK(queue.size() == 0);
  }
  SUBCASE("no work runs while every connection is pinned") {
    queue.SetConcurrency(0);
    queue.Push(kStart, MakeEntry("a", Priority::kOrdinary, 1000, "work"));
    CHECK_FALSE(queue.Pop());
    CHECK(queue.ExpectedWait(Priority::kOrdinary) > Duration(0));
  }
}

}  // namespace kingcupmill
