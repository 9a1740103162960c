#include "LibUsage/usage_terms.h"

#include <algorithm>

namespace kingcupmill {

namespace {

constexpr double kDepthShare = 0.4;
constexpr double kMinimumDepth = 4;
constexpr std::chrono::duration<double> kBaseTime(0.5);
// Half of the 20 operations that the bound allows beyond the rate and the burst
// goes into a longer silence limit: with a small rate, queries that only show
// that a proxy is connected would otherwise outnumber the operations.
constexpr double kExtraSilenceOperations = 10;
// Well below the validity of an offline rate.
constexpr std::chrono::duration<double> kMaximumSilenceLimit(4);

}  // namespace

UsageTerms::UsageTerms(const UsageLimit& limit) : rate(limit.rate) {
  // With a burst of at least the rate, the times fit into the bound as they
  // are.
  const double room = 0.1 * (5 * limit.rate + limit.burst) + limit.burst + 20;
  const double scale = std::min(1.0, room / (1.6 * limit.rate + 20));
  this->depth = std::max(kMinimumDepth, kDepthShare * limit.burst * scale);
  this->grant_lifetime = duration_cast<Duration>(kBaseTime * scale);
  const std::chrono::duration<double> extra(
      limit.rate > 0 ? kExtraSilenceOperations * scale / limit.rate : 0);
  this->silence_limit = duration_cast<Duration>(
      std::min(kBaseTime * scale + extra, kMaximumSilenceLimit));
}

}  // namespace kingcupmill
