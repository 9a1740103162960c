#ifndef LIBPROXY_PROXY_OPTIONS_H_
#define LIBPROXY_PROXY_OPTIONS_H_

#include "LibCore/names.h"
#include "LibRequests/group_options.h"

namespace kingcupmill {

// The settings of one proxy.
struct ProxyOptions {
  VmName vm;
  PlaceName place;
  // The number of homes of a group, or the number of places of its targets if
  // that is larger.
  size_t home_count = 4;
  // The maximum number of work connections to one target, even if the
  // target's connection budget allows more.
  size_t maximum_work_connections = 4;
  // The template for the options of each group. ProxyCore fills in the names
  // and the number of connections.
  GroupOptions group;
};

}  // namespace kingcupmill

#endif  // LIBPROXY_PROXY_OPTIONS_H_
