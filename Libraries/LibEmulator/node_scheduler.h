#ifndef LIBEMULATOR_NODE_SCHEDULER_H_
#define LIBEMULATOR_NODE_SCHEDULER_H_

#include <map>
#include <memory>
#include <utility>

#include "LibCore/virtual_scheduler.h"

namespace kingcupmill {

// The scheduler of one process, which can be frozen and killed.
class NodeScheduler final : public Scheduler {
 public:
  explicit NodeScheduler(VirtualScheduler& world)
      : world(world), life(std::make_shared<bool>(true)) {}
  ~NodeScheduler() override {
    *this->life = false;
    // Dropping a task may drop others.
    while (!this->timers.empty())
      this->Cancel(this->timers.begin()->first);
  }

  // Runs no task until `moment`; what is due before runs then.
  void FreezeUntil(TimePoint moment) { this->frozen_until = moment; }

  TimePoint Now() const override { return this->world.Now(); }

  void Post(Task task) override { this->PostAfter(Duration(0), task); }

  TimerId PostAfter(Duration delay, Task task) override {
    const TimerId id = this->next_id++;
    this->Schedule(id, delay, std::move(task));
    return id;
  }

  void Cancel(TimerId timer) override {
    const auto found = this->timers.find(timer);
    if (found == this->timers.end())
      return;
    const TimerId timer_in_world = found->second;
    this->timers.erase(found);
    this->world.Cancel(timer_in_world);
  }

 private:
  void Schedule(TimerId id, Duration delay, Task task) {
    this->timers[id] = this->world.PostAfter(
        delay, [this, id, life = this->life, task = std::move(task)]() mutable {
          if (!*life)
            return;
          const TimePoint now = this->world.Now();
          if (now < this->frozen_until)
            return this->Schedule(id, this->frozen_until - now,
                                  std::move(task));
          this->timers.erase(id);
          task();
        });
  }

  VirtualScheduler& world;
  std::shared_ptr<bool> life;
  TimePoint frozen_until{};
  TimerId next_id = 1;
  std::map<TimerId, TimerId> timers;
};

}  // namespace kingcupmill

#endif  // LIBEMULATOR_NODE_SCHEDULER_H_
