#ifndef LIBCORE_DECISION_LOG_H_
#define LIBCORE_DECISION_LOG_H_

#include <string>
#include <string_view>

namespace kingcupmill {

// Writes one structured line for each routing or placement decision: what was
// decided, what was chosen, from which candidates and why. Lines of frequent
// decisions have level debug, so that the log level turns them off cheaply.
class DecisionLog {
 public:
  enum class Frequency { kPerRequest, kRare };

  // `vm` is printed on every line.
  explicit DecisionLog(std::string vm);

  // Returns whether a line of this frequency would be written at all.
  bool is_enabled(Frequency frequency) const;

  // Writes one line.
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
