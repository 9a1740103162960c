#ifndef LIBDISPATCH_ZONE_TRAFFIC_H_
#define LIBDISPATCH_ZONE_TRAFFIC_H_

#include <cstdint>

namespace kingcupmill {

// How it is decided which reads leave the proxy's availability zone.
enum class ZoneTraffic {
  // A fixed penalty is added to the expected latency of targets elsewhere.
  kFixedPenalty,
  // ZoneBalancer bounds the share of reads that leave the zone.
  kAdaptive,
};

struct ZoneTrafficOptions {
  ZoneTraffic traffic = ZoneTraffic::kFixedPenalty;
  // Differs between proxies.
  uint64_t seed = 0;
};

}  // namespace kingcupmill

#endif  // LIBDISPATCH_ZONE_TRAFFIC_H_
