#ifndef LIBPROXY_PROXY_OPTIONS_H_
#define LIBPROXY_PROXY_OPTIONS_H_

#include "LibCore/names.h"
#include "LibRequests/group_options.h"

namespace kingcupmill {

// The settings of one proxy.
struct ProxyOptions {
  VmName vm;
  PlaceName place;
  // The number of homes of a group; more when its targets are in more places.
  size_t home_count = 4;
  // The most work connections to one target, whatever its budget.
  size_t maximum_work_connections = 4;
  // The template for the options of each group; names are filled in.
  GroupOptions group;
};

}  // namespace kingcupmill

#endif  // LIBPROXY_PROXY_OPTIONS_H_
