#ifndef LIBGATEWAY_GROUP_METRICS_H_
#define LIBGATEWAY_GROUP_METRICS_H_

#include <string>

#include "LibCore/names.h"
#include "LibDispatch/Forward.h"

namespace kingcupmill {

// Formats the metrics of a group of which this proxy is a home, one line each.
std::string FormatGroupMetrics(const GroupName& group,
                               const GroupDispatcher& dispatcher,
                               bool is_lease_held);

}  // namespace kingcupmill

#endif  // LIBGATEWAY_GROUP_METRICS_H_
