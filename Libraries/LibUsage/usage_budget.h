#ifndef LIBUSAGE_USAGE_BUDGET_H_
#define LIBUSAGE_USAGE_BUDGET_H_

#include <array>
#include <cstdint>
#include <deque>
#include <optional>

#include "LibCore/time.h"
#include "LibPeer/peer_query.h"
#include "LibUsage/usage_terms.h"
#include "LibUsage/usage_token.h"

namespace kingcupmill {

// What one proxy may admit for one customer: the tokens that the account has
// granted, and the offline rate for the time in which it gets no answers. At
// most one query is outstanding.
class UsageBudget {
 public:
  UsageBudget(const UsageLimit& limit, TimePoint now);

  // A lower rate scales down at once what this proxy may use.
  void SetLimit(const UsageLimit& limit, TimePoint now);

  // Takes a token for one operation, if there is one.
  std::optional<UsageToken> Take(TimePoint now);
  // Returns the token of an operation that has not run.
  void Return(const UsageToken& token, TimePoint now);

  // Whether to send a query now, with this many operations waiting for tokens.
  bool should_ask(size_t waiting, TimePoint now) const;
  // Starts a query. The caller fills in the fields that do not depend on the
  // customer's use.
  UsageQuery StartQuery(size_t waiting, TimePoint now);
  // Identifies the outstanding query, or the last one.
  uint64_t query_number() const { return this->last_query; }
  bool has_query() const { return this->is_query_outstanding; }
  void DidReceive(const UsageAnswer& answer, TimePoint now);
  void DidLoseAnswer(TimePoint now);

  // Whether to pool offline tokens now, in the same way.
  bool should_pool(size_t waiting, TimePoint now) const;
  UsagePoolQuery StartPoolQuery(size_t waiting, TimePoint now);
  uint64_t pool_query_number() const { return this->last_pool_query; }
  bool has_pool_query() const { return this->is_pool_query_outstanding; }
  // Whether the peer that pools tokens has answered lately, or was not asked.
  bool is_pool_lost() const { return this->has_lost_pool; }
  void DidReceivePool(const UsagePoolAnswer& answer, TimePoint now);
  void DidLosePool(TimePoint now);

  // Notices that an answer is late. Called at short intervals.
  void Refresh(TimePoint now);

  // Whether the offline rate is in use.
  bool is_offline() const { return this->offline_since.has_value(); }
  // Whether the account has answered recently enough for the offline rate to
  // be valid.
  bool knows_holder(TimePoint now) const;
  // Whether an operation behind `waiting` others gets no token within `limit`,
  // as far as is known.
  bool is_hopeless(size_t waiting, Duration limit, TimePoint now) const;
  // Whether the customer has not been active here for long enough to forget
  // this.
  bool is_idle(TimePoint now) const;
  // Operations a second in the last seconds.
  double UsedRate(TimePoint now) const;
  double rate() const { return this->terms.rate; }

 private:
  struct Grant {
    TimePoint expires_at{};
    uint64_t count = 0;
  };
  static constexpr Duration kSlotLength = std::chrono::milliseconds(500);
  static constexpr size_t kSlots = 10;

  uint64_t GrantedTokens(TimePoint now) const;
  // How many unused tokens this proxy aims to have.
  uint64_t TokensAhead(TimePoint now) const;
  double OfflineTokens(TimePoint now) const;
  double OfflineDepth() const;
  void StartOffline(TimePoint now);
  void CountUse(int64_t change, TimePoint now);
  // Returns the number of the slot of time that contains `now`.
  static int64_t SlotOf(TimePoint now);

  UsageTerms terms;
  std::deque<Grant> grants;
  // Uses in the last slots of time, and the newest of these slots.
  std::array<int64_t, kSlots> uses{};
  int64_t newest_slot = 0;
  TimePoint used_at{};

  bool is_query_outstanding = false;
  uint64_t last_query = 0;
  TimePoint query_sent_at{};
  uint64_t query_wanted = 0;
  TimePoint next_query_at{};
  // The account had too few tokens; it has another one then.
  std::optional<TimePoint> next_token_at;

  // When the last query was sent that the holder answered.
  std::optional<TimePoint> answered_query_at;
  double offline_rate = 0;
  // The offline rate in the last query.
  double reported_rate = 0;
  std::optional<TimePoint> offline_since;
  // As of `offline_tokens_at`.
  double offline_tokens = 0;
  TimePoint offline_tokens_at{};
  double used_offline = 0;

  // Tokens that came from the pool.
  uint64_t pooled_tokens = 0;
  bool is_pool_query_outstanding = false;
  bool has_lost_pool = false;
  // Whether the peer that pools tokens has answered since the offline rate is
  // in use. Tokens are not transferred before that, since they would be lost.
  bool has_pool = false;
  uint64_t last_pool_query = 0;
  TimePoint pool_query_sent_at{};
  TimePoint next_pool_query_at{};
};

}  // namespace kingcupmill

#endif  // LIBUSAGE_USAGE_BUDGET_H_
