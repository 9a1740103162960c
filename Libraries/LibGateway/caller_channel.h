#ifndef LIBGATEWAY_CALLER_CHANNEL_H_
#define LIBGATEWAY_CALLER_CHANNEL_H_

#include "LibStatement/statement_answer.h"

namespace kingcupmill {

// The connection to one caller.
class CallerChannel {
 public:
  virtual ~CallerChannel() = default;

  // Sends one whole answer.
  virtual void Send(const StatementAnswer& answer) = 0;

  // Sends what has been written and closes.
  virtual void Close() = 0;
};

}  // namespace kingcupmill

#endif  // LIBGATEWAY_CALLER_CHANNEL_H_
