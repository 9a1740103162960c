#ifndef LIBGATEWAY_CALLER_CHANNEL_H_
#define LIBGATEWAY_CALLER_CHANNEL_H_

#include "LibStatement/statement_answer.h"

namespace kingcupmill {

// The connection to one caller.
class CallerChannel {
 public:
  virtual ~CallerChannel() = default;

  // Sends the complete answer to one statement.
  virtual void Send(const StatementAnswer& answer) = 0;

  // Flushes the answers that were sent, then closes the connection.
  virtual void Close() = 0;
};

}  // namespace kingcupmill

#endif  // LIBGATEWAY_CALLER_CHANNEL_H_
