#ifndef LIBDISPATCH_GROUP_ACCESS_H_
#define LIBDISPATCH_GROUP_ACCESS_H_

#include <cstdint>

#include "LibDispatch/work_request.h"

namespace kingcupmill {

// Runs requests on the targets of one group, directly or through another proxy.
class GroupAccess {
 public:
  using WorkNumber = uint64_t;

  virtual ~GroupAccess() = default;

  // Starts the request or queues it. `did_finish` is called exactly once,
  // possibly before this returns.
  virtual WorkNumber Submit(WorkRequest request, DidFinishWork did_finish) = 0;

  // Cancels a request whose caller has disconnected. Commands that were already
  // sent to a target are not interrupted.
  virtual void Cancel(WorkNumber number) = 0;
};

}  // namespace kingcupmill

#endif  // LIBDISPATCH_GROUP_ACCESS_H_
