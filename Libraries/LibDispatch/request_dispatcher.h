#ifndef LIBDISPATCH_REQUEST_DISPATCHER_H_
#define LIBDISPATCH_REQUEST_DISPATCHER_H_

#include <cstdint>

#include "LibDispatch/dispatch_request.h"

namespace kingcupmill {

// Runs requests on the targets of one group, directly or through another proxy.
class RequestDispatcher {
 public:
  using RequestNumber = uint64_t;

  virtual ~RequestDispatcher() = default;

  // Starts the request or queues it. `did_finish` is called exactly once,
  // possibly before this returns.
  virtual RequestNumber Submit(DispatchRequest request,
                               DispatchCallback did_finish) = 0;

  // Cancels a request whose caller has disconnected. Commands that were already
  // sent to a target are not interrupted.
  virtual void Cancel(RequestNumber number) = 0;
};

}  // namespace kingcupmill

#endif  // LIBDISPATCH_REQUEST_DISPATCHER_H_
