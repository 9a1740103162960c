#ifndef LIBCORE_VIRTUAL_SCHEDULER_H_
#define LIBCORE_VIRTUAL_SCHEDULER_H_

#include <map>
#include <utility>

#include "LibCore/scheduler.h"

namespace kingcupmill {

// A Scheduler whose clock advances only in RunOne() and RunFor(). Tasks that
// are due at the same time run in the order in which they were posted.
class VirtualScheduler final : public Scheduler {
 public:
  TimePoint Now() const override { return this->now; }

  void Post(Task task) override { this->PostAfter(Duration(0), task); }

  TimerId PostAfter(Duration delay, Task task) override {
    const TimerId id = this->next_id++;
    const Key key(this->now + std::max(delay, Duration(0)), id);
    this->tasks.emplace(key, std::move(task));
    this->due_by_id.emplace(id, key.first);
    return id;
  }

  void Cancel(TimerId timer) override {
    const auto due = this->due_by_id.find(timer);
    if (due == this->due_by_id.end())
      return;
    // The destructor of a task may cancel other timers: erase its entries
    // first.
    const auto cancelled = this->tasks.extract(Key(due->second, timer));
    this->due_by_id.erase(due);
  }

  // Advances to the next task and runs it. Returns false if there is none.
  bool RunOne() {
    if (this->tasks.empty())
      return false;
    auto next = this->tasks.begin();
    this->now = next->first.first;
    Task task = std::move(next->second);
    this->due_by_id.erase(next->first.second);
    this->tasks.erase(next);
    task();
    return true;
  }

  // Runs every task due within `duration`, then advances the clock to its end.
  void RunFor(Duration duration) {
    const TimePoint end = this->now + duration;
    while (!this->tasks.empty() && this->tasks.begin()->first.first <= end)
      this->RunOne();
    this->now = end;
  }

 private:
  using Key = std::pair<TimePoint, TimerId>;

  TimePoint now{std::chrono::hours(1)};
  TimerId next_id = 1;
  std::map<Key, Task> tasks;
  std::map<TimerId, TimePoint> due_by_id;
};

}  // namespace kingcupmill

#endif  // LIBCORE_VIRTUAL_SCHEDULER_H_
