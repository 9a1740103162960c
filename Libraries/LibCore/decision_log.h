#ifndef LIBCORE_DECISION_LOG_H_
#define LIBCORE_DECISION_LOG_H_

#include <string>
#include <string_view>

namespace kingcupmill {

// Logs one structured line for each routing or placement decision: its kind,
// the choice, the candidates and the reason. Decisions made for each request
// have level debug, so that the log level can disable them at little cost.
class DecisionLog {
 public:
  enum class Frequency { kPerRequest, kRare };

  // `vm` is the name of this VM, which every line contains.
  explicit DecisionLog(std::string vm);

  // Returns whether the log level lets lines of this frequency through.
  bool is_enabled(Frequency frequency) const;

  // Writes one line at the log level of `frequency`.
  void Write(Frequency frequency,
             std::string_view decision,
             std::string_view subject,
             std::string_view chosen,
             std::string_view candidates,
             std::string_view reason) const;

 private:
  std::string vm;
};

}  // namespace kingcupmill

#endif  // LIBCORE_DECISION_LOG_H_
