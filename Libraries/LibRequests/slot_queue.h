#ifndef LIBREQUESTS_SLOT_QUEUE_H_
#define LIBREQUESTS_SLOT_QUEUE_H_

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "LibCore/names.h"
#include "LibCore/time.h"
#include "LibRequests/client_request.h"

namespace kingcupmill {

// Schedules the work for one target on a limited number of slots. Urgent work
// runs before ordinary work in a fixed ratio, the applications of a priority
// class take turns, and the work of an application runs in the order of its
// deadlines. Rejects work that cannot meet its deadline. It reads no clock and
// does no I/O: callers pass in the time and run what Pop() returns.
template <typename Work>
class SlotQueue {
 public:
  struct Options {
    // The number of slots, that is of work items that run at the same time.
    size_t concurrency = 2;
    size_t maximum_length = 256;
    // The number of urgent items that run before one waiting ordinary item.
    size_t urgent_per_ordinary = 4;
    // The estimated run time before the first item has finished.
    Duration initial_run_time = std::chrono::milliseconds(1);
  };

  struct Entry {
    ApplicationName application;
    Priority priority = Priority::kOrdinary;
    TimePoint deadline;
    Work work;
  };

  explicit SlotQueue(Options options)
      : options(options), run_time(options.initial_run_time) {}

  // Queues `entry`. Returns it to the caller when the queue is full or when it
  // cannot meet its deadline.
  std::optional<Entry> Push(TimePoint now, Entry entry) {
    const bool would_miss_deadline =
        now + this->ExpectedWait(entry.priority) + this->run_time >
        entry.deadline;
    if (would_miss_deadline || this->length >= this->options.maximum_length)
      return entry;
    ClassQueue& queue = this->QueueFor(entry.priority);
    queue.applications[entry.application].emplace(entry.deadline,
                                                  std::move(entry));
    ++queue.length;
    ++this->length;
    return std::nullopt;
  }

  // Removes and returns the next entry to run, or nothing when the queue is
  // empty or all slots are in use. Call DidFinish() when the entry is done.
  std::optional<Entry> Pop() {
    if (this->running >= this->options.concurrency || this->length == 0)
      return std::nullopt;
    ++this->running;
    return this->PopFrom(this->ChooseQueue());
  }

  // Frees the slot of an entry from Pop(), which ran for `elapsed`.
  void DidFinish(Duration elapsed) {
    --this->running;
    this->run_time += (elapsed - this->run_time) / 8;
  }

  // Removes and returns the entries whose deadline has passed.
  std::vector<Entry> TakeExpired(TimePoint now) {
    std::vector<Entry> expired;
    for (ClassQueue& queue : this->classes) {
      for (auto& [application, entries] : queue.applications) {
        while (!entries.empty() && entries.begin()->first <= now) {
          expired.push_back(std::move(entries.begin()->second));
          entries.erase(entries.begin());
          --queue.length;
          --this->length;
        }
      }
      std::erase_if(queue.applications,
                    [](const auto& item) { return item.second.empty(); });
    }
    return expired;
  }

  // Returns the estimated time until a new entry of `priority` would start.
  Duration ExpectedWait(Priority priority) const {
    size_t ahead = this->classes[0].length;
    if (priority == Priority::kOrdinary)
      ahead += this->classes[1].length;
    const size_t busy = ahead + this->running;
    if (busy < this->options.concurrency)
      return Duration(0);
    // The concurrency is 0 while every connection is pinned.
    const size_t slots = std::max<size_t>(this->options.concurrency, 1);
    const size_t rounds = busy - this->options.concurrency + 1;
    return this->run_time * static_cast<int64_t>(rounds) /
           static_cast<int64_t>(slots);
  }

  void SetConcurrency(size_t concurrency) {
    this->options.concurrency = concurrency;
  }

  size_t size() const { return this->length; }
  size_t running_count() const { return this->running; }

 private:
  using Entries = std::multimap<TimePoint, Entry>;
  struct ClassQueue {
    std::map<ApplicationName, Entries> applications;
    // The next entry comes from the application after this one.
    ApplicationName last_served;
    size_t length = 0;
  };

  ClassQueue& QueueFor(Priority priority) {
    return this->classes[priority == Priority::kUrgent ? 0 : 1];
  }

  ClassQueue& ChooseQueue() {
    ClassQueue& urgent = this->classes[0];
    ClassQueue& ordinary = this->classes[1];
    if (urgent.length == 0)
      return ordinary;
    if (ordinary.length == 0)
      return urgent;
    if (this->consecutive_urgent < this->options.urgent_per_ordinary) {
      ++this->consecutive_urgent;
      return urgent;
    }
    this->consecutive_urgent = 0;
    return ordinary;
  }

  Entry PopFrom(ClassQueue& queue) {
    auto application = queue.applications.upper_bound(queue.last_served);
    if (application == queue.applications.end())
      application = queue.applications.begin();
    queue.last_served = application->first;
    Entries& entries = application->second;
    Entry entry = std::move(entries.begin()->second);
    entries.erase(entries.begin());
    if (entries.empty())
      queue.applications.erase(application);
    --queue.length;
    --this->length;
    return entry;
  }

  Options options;
  std::array<ClassQueue, 2> classes;
  size_t length = 0;
  size_t running = 0;
  size_t consecutive_urgent = 0;
  Duration run_time;
};

}  // namespace kingcupmill

#endif  // LIBREQUESTS_SLOT_QUEUE_H_
