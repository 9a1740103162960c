#include "LibUsage/usage_terms.h"

#include <algorithm>

namespace kingcupmill {

namespace {

constexpr double kDepthShare = 0.4;
constexpr double kMinimumDepth = 8;
constexpr std::chrono::duration<double> kBaseTime(0.5);
// Of the 20 operations that the bound allows beyond the rate and the burst, a
// part goes into a longer silence limit: with a small rate, queries that only
// show that a proxy is connected would otherwise outnumber the operations.
constexpr double kExtraSilenceOperations = 7;
// Another part is there when proxies begin to use their offline rates: it would
// take seconds until a small rate yields one operation.
constexpr double kOfflineCreditOperations = 5;
// A part that is not used otherwise.
constexpr double kMargin = 4;
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
  this->offline_credit = duration_cast<Duration>(std::min(
      std::chrono::duration<double>(
          limit.rate > 0 ? kOfflineCreditOperations * scale / limit.rate : 0),
      kMaximumSilenceLimit));
  // Offline rates are in use only after the silence limit, so that unused
  // tokens may take its place in the bound.
  this->pool_room = 0.1 * (5 * limit.rate + limit.burst) + limit.burst + 20 -
                    this->depth - limit.rate * kBaseTime.count() * scale -
                    kMargin;
}

}  // namespace kingcupmill
