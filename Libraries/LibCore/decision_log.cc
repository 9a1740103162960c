#include "LibCore/decision_log.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace kingcupmill {

namespace {

spdlog::level::level_enum LevelFor(DecisionLog::Frequency frequency) {
  return frequency == DecisionLog::Frequency::kRare ? spdlog::level::info
                                                    : spdlog::level::debug;
}

}  // namespace

DecisionLog::DecisionLog(std::string vm) : vm(std::move(vm)) {}

bool DecisionLog::is_enabled(Frequency frequency) const {
  return spdlog::should_log(LevelFor(frequency));
}

void DecisionLog::Write(Frequency frequency,
                        std::string_view decision,
                        std::string_view subject,
                        std::string_view chosen,
                        std::string_view candidates,
                        std::string_view reason) const {
  spdlog::log(LevelFor(frequency),
              "decision={} vm={} subject={} chosen={} candidates=[{}] "
              "reason=\"{}\"",
              decision, this->vm, subject, chosen, candidates, reason);
}

}  // namespace kingcupmill
