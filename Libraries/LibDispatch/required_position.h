#ifndef LIBDISPATCH_REQUIRED_POSITION_H_
#define LIBDISPATCH_REQUIRED_POSITION_H_

#include <optional>

#include "LibCore/names.h"
#include "LibCore/time.h"
#include "LibDispatch/dispatch_request.h"
#include "LibPrimary/position_samples.h"
#include "LibPrimary/primary_record.h"

namespace kingcupmill {

// Returns the position that a replica must have reached to run the request
// within its route's staleness bound, or nothing if no sample is recent enough
// or only the primary may run it. `record` is the newest one of the group, or
// null.
std::optional<LogPoint> RequiredPosition(const DispatchRequest& request,
                                         const PrimaryRecord* record,
                                         const PositionSamples& samples,
                                         TimePoint now);

}  // namespace kingcupmill

#endif  // LIBDISPATCH_REQUIRED_POSITION_H_
