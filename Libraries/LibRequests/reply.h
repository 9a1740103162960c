#ifndef LIBREQUESTS_REPLY_H_
#define LIBREQUESTS_REPLY_H_

#include <functional>

#include "LibRequests/client_answer.h"

namespace kingcupmill {

// Receives the answer to a request. It is called exactly once.
using Reply = std::function<void(ClientAnswer)>;

}  // namespace kingcupmill

#endif  // LIBREQUESTS_REPLY_H_
