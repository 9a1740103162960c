#include "LibDispatch/event_journal.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace kingcupmill {

namespace {

// Lines a second and at once of each kind. Routed statements are sampled so
// that the log costs under a hundredth of a small VM's core.
struct Rate {
  double per_second;
  double burst;
  spdlog::level::level_enum level;
};
constexpr std::array<Rate, 4> kRates = {{
    {20, 40, spdlog::level::info},
    {50, 100, spdlog::level::info},
    {100, 200, spdlog::level::warn},
    {50, 200, spdlog::level::info},
}};

}  // namespace

EventJournal::EventJournal(Scheduler& scheduler) : scheduler(scheduler) {
  for (size_t index = 0; index < this->budgets.size(); ++index) {
    this->budgets.at(index).tokens = kRates.at(index).burst;
    this->budgets.at(index).filled_at = scheduler.Now();
  }
}

bool EventJournal::TakeToken(Kind kind) {
  Budget& budget = this->budgets.at(static_cast<size_t>(kind));
  const Rate& rate = kRates.at(static_cast<size_t>(kind));
  const TimePoint now = this->scheduler.Now();
  const double seconds =
      std::chrono::duration<double>(now - budget.filled_at).count();
  budget.filled_at = now;
  budget.tokens =
      std::min(rate.burst, budget.tokens + seconds * rate.per_second);
  if (budget.tokens < 1) {
    ++budget.dropped;
    return false;
  }
  budget.tokens -= 1;
  return true;
}

void EventJournal::WriteLine(Kind kind, std::string_view line) {
  Budget& budget = this->budgets.at(static_cast<size_t>(kind));
  const spdlog::level::level_enum level =
      kRates.at(static_cast<size_t>(kind)).level;
  if (budget.dropped > 0) {
    spdlog::log(level, "event=lines_dropped kind={} count={}",
                static_cast<int>(kind), std::exchange(budget.dropped, 0));
  }
  spdlog::log(level, "{}", line);
}

}  // namespace kingcupmill
