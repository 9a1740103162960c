#ifndef LIBEMULATOR_NODE_SCHEDULER_H_
#define LIBEMULATOR_NODE_SCHEDULER_H_

#include <map>
#include <memory>
#include <utility>

#include "LibCore/virtual_scheduler.h"

namespace kingcupmill {

// The scheduler of one emulated process, which can be frozen or destroyed while
// its tasks are pending.
class NodeScheduler final : public Scheduler {
 public:
  explicit NodeScheduler(VirtualScheduler& cluster_scheduler)
      : cluster_scheduler(cluster_scheduler),
        life(std::make_shared<bool>(true)) {}
  ~NodeScheduler() override {
    *this->life = false;
    // Destroying a task may cancel others.
    while (!this->timers.empty())
      this->Cancel(this->timers.begin()->first);
  }

  // Defers all tasks that become due before `moment` until then.
  void FreezeUntil(TimePoint moment) { this->frozen_until = moment; }

  TimePoint Now() const override { return this->cluster_scheduler.Now(); }

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
    const TimerId cluster_timer = found->second;
    this->timers.erase(found);
    this->cluster_scheduler.Cancel(cluster_timer);
  }

 private:
  void Schedule(TimerId id, Duration delay, Task task) {
    this->timers[id] = this->cluster_scheduler.PostAfter(
        delay, [this, id, life = this->life, task = std::move(task)]() mutable {
          if (!*life)
            return;
          const TimePoint now = this->cluster_scheduler.Now();
          if (now < this->frozen_until)
            return this->Schedule(id, this->frozen_until - now,
                                  std::move(task));
          this->timers.erase(id);
          task();
        });
  }

  VirtualScheduler& cluster_scheduler;
  std::shared_ptr<bool> life;
  TimePoint frozen_until{};
  TimerId next_id = 1;
  std::map<TimerId, TimerId> timers;
};

}  // namespace kingcupmill

#endif  // LIBEMULATOR_NODE_SCHEDULER_H_
