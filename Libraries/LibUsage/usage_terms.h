#ifndef LIBUSAGE_USAGE_TERMS_H_
#define LIBUSAGE_USAGE_TERMS_H_

#include "LibCore/time.h"
#include "LibDirectory/customer_declaration.h"

namespace kingcupmill {

// What follows from a usage limit. The values are chosen so that in any window
// of 5 s at most (5 rate + burst) x 1.1 + 20 operations run: 5 rate of refill,
// plus the depth, plus rate x (grant_lifetime + silence_limit).
struct UsageTerms {
  // The validity of an offline rate after the last answered query was sent.
  static constexpr Duration kOfflineLifetime = std::chrono::seconds(8);
  // A holder whose copy of the membership is older grants nothing.
  static constexpr Duration kMaximumMembersAge = std::chrono::seconds(5);
  // How long a new holder waits, so that its predecessor's copy of the
  // membership is too old to grant.
  static constexpr Duration kTakeoverWait = kMaximumMembersAge;

  double rate = 0;
  // The depth of the account's token bucket.
  double depth = 0;
  // Tokens expire this long after the query for them was sent.
  Duration grant_lifetime{};
  // The account subtracts the offline rate of a proxy that has sent no query
  // for this long. A proxy's own bucket of offline tokens holds as much as the
  // offline rate yields in this time.
  Duration silence_limit{};
  // The offline tokens at the start of the use of an offline rate, as what the
  // rate yields in this time. It matters to small rates only.
  Duration offline_credit{};
  // How many unused offline tokens the pools of all places may hold together.
  double pool_room = 0;

  explicit UsageTerms(const UsageLimit& limit);
};

}  // namespace kingcupmill

#endif  // LIBUSAGE_USAGE_TERMS_H_
