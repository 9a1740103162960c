#ifndef LIBDISPATCH_SENT_STATEMENTS_H_
#define LIBDISPATCH_SENT_STATEMENTS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "LibCore/time.h"

namespace kingcupmill {

class TargetLink;
class TargetView;

// Statements that were sent to the targets of a group and not answered. Finds
// those whose answer is lost: their target has answered what was sent later.
class SentStatements {
 public:
  // What is lost with an answer.
  enum class Loss {
    // The statement can run again, or its transaction is rolled back.
    kNothing,
    // The caller does not know whether it took effect.
    kOutcome,
  };

  // Returns the number of the sending.
  uint64_t DidSend(std::shared_ptr<TargetView> target,
                   std::shared_ptr<TargetLink> link,
                   Loss loss);

  // The statement was answered, or its connection has ended.
  void DidEnd(uint64_t sending);

  // Returns the connections on which an answer is lost at `now`.
  std::vector<std::shared_ptr<TargetLink>> FindLost(TimePoint now) const;

 private:
  struct Statement {
    std::shared_ptr<TargetView> target;
    std::shared_ptr<TargetLink> link;
    Loss loss = Loss::kNothing;
  };

  uint64_t next_sending = 1;
  std::map<uint64_t, Statement> statements;
};

}  // namespace kingcupmill

#endif  // LIBDISPATCH_SENT_STATEMENTS_H_
