#ifndef LIBDISPATCH_IN_FLIGHT_STATEMENTS_H_
#define LIBDISPATCH_IN_FLIGHT_STATEMENTS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "LibCore/time.h"

namespace kingcupmill {

class PooledConnection;
class TargetView;

// Statements that were sent to the targets of a group and not answered. Finds
// those whose answer is lost: their target has already answered a command that
// was sent later on another connection.
class InFlightStatements {
 public:
  // What a lost answer means for the caller.
  enum class AnswerLoss {
    // The statement can be retried, or its transaction is rolled back.
    kRecoverable,
    // The caller cannot know whether the statement took effect.
    kOutcomeUnknown,
  };

  // Returns an id for DidEnd().
  uint64_t DidSend(std::shared_ptr<TargetView> target,
                   std::shared_ptr<PooledConnection> connection,
                   AnswerLoss answer_loss);

  // Called when the statement was answered or its connection has ended.
  void DidEnd(uint64_t send_id);

  // Returns the connections that have lost an answer as of `now`. The caller
  // must close them.
  std::vector<std::shared_ptr<PooledConnection>> FindLost(TimePoint now) const;

 private:
  struct Statement {
    std::shared_ptr<TargetView> target;
    std::shared_ptr<PooledConnection> connection;
    AnswerLoss answer_loss = AnswerLoss::kRecoverable;
  };

  uint64_t next_send_id = 1;
  std::map<uint64_t, Statement> statements;
};

}  // namespace kingcupmill

#endif  // LIBDISPATCH_IN_FLIGHT_STATEMENTS_H_
