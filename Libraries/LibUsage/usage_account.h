#ifndef LIBUSAGE_USAGE_ACCOUNT_H_
#define LIBUSAGE_USAGE_ACCOUNT_H_

#include <cstdint>
#include <map>
#include <string>

#include "LibCore/time.h"
#include "LibPeer/peer_query.h"
#include "LibUsage/usage_terms.h"

namespace kingcupmill {

// The usage account of one customer at its holder: a token bucket from which
// all proxies draw, and the offline rates that they use without it. It refills
// at the customer's rate, less the offline rates of the proxies that it no
// longer hears from.
class UsageAccount {
 public:
  // `became_holder_at` is when the membership made this proxy the holder;
  // offline rates that an earlier holder granted may last for
  // UsageTerms::kOfflineLifetime after it. Grants begin at `granting_from`.
  UsageAccount(const UsageLimit& limit,
               TimePoint became_holder_at,
               TimePoint granting_from,
               TimePoint now);

  void SetLimit(const UsageLimit& limit, TimePoint now);

  // Answers a query. `known_share` is the part of the offline rates unknown to
  // this account that certainly no proxy holds, from 0 to 1.
  UsageAnswer Answer(const UsageQuery& query,
                     double known_share,
                     TimePoint now);

  // Whether proxies that this account has not heard from may hold an offline
  // rate of an earlier holder.
  bool may_have_unknown_rates(TimePoint now) const {
    return now < this->unknown_until;
  }
  bool has_heard_from(const std::string& proxy) const {
    return this->proxies.contains(proxy);
  }
  // The sum of the offline rates that proxies may hold.
  double offline_rates() const { return this->held_sum; }

 private:
  struct Proxy {
    TimePoint heard_at{};
    // The offline rate that the proxy may hold.
    double held = 0;
    // The offline rate that it should have by its recent use.
    double wanted_rate = 0;
    double used_offline = 0;
    // What was subtracted from the refill for it, less what it has reported to
    // have used, and until when that may cover what it reports.
    double reserved = 0;
    TimePoint reserved_until{};
  };

  void Advance(double known_share, TimePoint now);
  // Returns the offline rate for a proxy whose state is up to date.
  double OfflineRateFor(const Proxy& proxy, double reported, TimePoint now);
  void SetHeld(Proxy& proxy, double held);

  UsageTerms terms;
  TimePoint unknown_until;
  TimePoint granting_from;
  TimePoint advanced_at;
  // Negative when proxies reported more operations than were subtracted.
  double tokens = 0;
  // The rate at which the bucket refills now.
  double refill_rate = 0;
  std::map<std::string, Proxy> proxies;
  // Sums over all proxies.
  double held_sum = 0;
  double wanted_sum = 0;
};

}  // namespace kingcupmill

#endif  // LIBUSAGE_USAGE_ACCOUNT_H_
