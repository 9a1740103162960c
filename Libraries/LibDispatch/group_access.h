#ifndef LIBDISPATCH_GROUP_ACCESS_H_
#define LIBDISPATCH_GROUP_ACCESS_H_

#include <cstdint>

#include "LibDispatch/work_request.h"

namespace kingcupmill {

// The way of statements to one group of targets.
class GroupAccess {
 public:
  using WorkNumber = uint64_t;

  virtual ~GroupAccess() = default;

  // Starts the work, or queues it. `did_finish` is called once, perhaps before
  // this returns.
  virtual WorkNumber Submit(WorkRequest request, DidFinishWork did_finish) = 0;

  // Drops work whose caller is gone. What has been sent runs on.
  virtual void Cancel(WorkNumber number) = 0;
};

}  // namespace kingcupmill

#endif  // LIBDISPATCH_GROUP_ACCESS_H_
