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

// Orders the work for one target: urgent before ordinary in a fixed ratio, the
// applications of a class in turn, and the work of an application by deadline.
// Refuses work that cannot meet its deadline. Pure.
template <typename Work>
class SlotQueue {
 public:
  struct Options {
    // How many pieces of work run at once.
    size_t concurrency = 2;
    size_t maximum_length = 256;
    // The urgent pieces that may pass one waiting ordinary piece.
    size_t urgent_per_ordinary = 4;
    // The assumed run time before anything has been measured.
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

  // Takes `entry`, or returns it when it cannot meet its deadline.
  std::optional<Entry> Push(TimePoint now, Entry entry) {
    const bool is_hopeless =
        now + this->ExpectedWait(entry.priority) + this->run_time >
        entry.deadline;
    if (is_hopeless || this->length >= this->options.maximum_length)
      return entry;
    ClassQueue& queue = this->ClassOf(entry.priority);
    queue.applications[entry.application].emplace(entry.deadline,
                                                  std::move(entry));
    ++queue.length;
    ++this->length;
    return std::nullopt;
  }

  // Returns the next piece to run, or nothing when all slots are in use.
  std::optional<Entry> Pop() {
    if (this->running >= this->options.concurrency || this->length == 0)
      return std::nullopt;
    ++this->running;
    return this->Take(this->ChooseClass());
  }

  // A piece returned by Pop() has finished after `elapsed`.
  void DidFinish(Duration elapsed) {
    --this->running;
    this->run_time += (elapsed - this->run_time) / 8;
  }

  // Removes and returns everything whose deadline has passed.
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

  // Returns the expected time until new work of `priority` would start.
  Duration ExpectedWait(Priority priority) const {
    size_t ahead = this->classes[0].length;
    if (priority == Priority::kOrdinary)
      ahead += this->classes[1].length;
    const size_t busy = ahead + this->running;
    if (busy < this->options.concurrency)
      return Duration(0);
    // The concurrency is 0 while every connection is reserved.
    const size_t lanes = std::max<size_t>(this->options.concurrency, 1);
    const size_t rounds = busy - this->options.concurrency + 1;
    return this->run_time * static_cast<int64_t>(rounds) /
           static_cast<int64_t>(lanes);
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
    // The application that was served last.
    ApplicationName last_served;
    size_t length = 0;
  };

  ClassQueue& ClassOf(Priority priority) {
    return this->classes[priority == Priority::kUrgent ? 0 : 1];
  }

  ClassQueue& ChooseClass() {
    ClassQueue& urgent = this->classes[0];
    ClassQueue& ordinary = this->classes[1];
    if (urgent.length == 0)
      return ordinary;
    if (ordinary.length == 0)
      return urgent;
    if (this->urgent_streak < this->options.urgent_per_ordinary) {
      ++this->urgent_streak;
      return urgent;
    }
    this->urgent_streak = 0;
    return ordinary;
  }

  Entry Take(ClassQueue& queue) {
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
  size_t urgent_streak = 0;
  Duration run_time;
};

}  // namespace kingcupmill

#endif  // LIBREQUESTS_SLOT_QUEUE_H_
