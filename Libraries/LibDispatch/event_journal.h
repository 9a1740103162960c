#ifndef LIBDISPATCH_EVENT_JOURNAL_H_
#define LIBDISPATCH_EVENT_JOURNAL_H_

#include <fmt/format.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "LibCore/scheduler.h"

namespace kingcupmill {

// Writes the structured log: one line for each decision that touches a request
// or changes what the process believes. Each kind of line has a budget of its
// own, and one line tells how many were dropped; failures have the largest.
class EventJournal {
 public:
  enum class Kind { kRouted, kRefused, kFailed, kBelief, kCount };

  explicit EventJournal(Scheduler& scheduler);

  template <typename... Arguments>
  void Write(Kind kind,
             fmt::format_string<Arguments...> format,
             Arguments&&... arguments) {
    if (!this->TakeToken(kind))
      return;
    this->WriteLine(kind,
                    fmt::format(format, std::forward<Arguments>(arguments)...));
  }

 private:
  struct Budget {
    double tokens = 0;
    TimePoint filled_at{};
    uint64_t dropped = 0;
  };

  bool TakeToken(Kind kind);
  void WriteLine(Kind kind, std::string_view line);

  Scheduler& scheduler;
  std::array<Budget, static_cast<size_t>(Kind::kCount)> budgets;
};

}  // namespace kingcupmill

#endif  // LIBDISPATCH_EVENT_JOURNAL_H_
