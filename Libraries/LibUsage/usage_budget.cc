#include "LibUsage/usage_budget.h"

#include <algorithm>
#include <cmath>

namespace kingcupmill {

namespace {

// Tokens at hand for the use of this share of their lifetime: an unused token
// expires, which costs the customer a part of its rate.
constexpr double kAheadShare = 0.6;
// Without an answer for this long, the offline rate is used. Operations wait
// for 24 ms to 100 ms, and one may need a token of the pool after that. The
// account pays for what was used because an answer was only late.
constexpr Duration kLateAfter = std::chrono::milliseconds(15);
// An unanswered query is given up after this time; its tokens would have
// expired.
constexpr Duration kQueryTimeout = std::chrono::milliseconds(500);
constexpr Duration kRetryInterval = std::chrono::milliseconds(100);
// The interval of queries while the account has too few tokens.
constexpr Duration kMinimumShortInterval = std::chrono::milliseconds(10);
constexpr Duration kMaximumShortInterval = std::chrono::milliseconds(50);
// How often the holder hears from a proxy that has an offline rate, as a share
// of the silence limit. These queries are most of all messages: with a share of
// 0.4, 80 proxies sent 12 messages for each operation.
constexpr double kKeepAliveShare = 0.75;
// The intervals at which offline tokens are pooled, without and with operations
// that wait for one, and the time after which the peer counts as lost.
constexpr Duration kPoolInterval = std::chrono::milliseconds(250);
constexpr Duration kWaitingPoolInterval = std::chrono::milliseconds(15);
constexpr Duration kPoolTimeout = std::chrono::milliseconds(15);
// Beyond this many operations, those that wait while the account has too few
// tokens are limited by the recent use.
constexpr double kMinimumQueue = 2;
// A proxy may ask for no more, whatever waits.
constexpr uint64_t kMaximumWanted = 10'000;

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

UsageBudget::UsageBudget(const UsageLimit& limit, TimePoint now)
    : terms(limit), used_at(now) {}

void UsageBudget::SetLimit(const UsageLimit& limit, TimePoint now) {
  const double scale =
      this->terms.rate > limit.rate ? limit.rate / this->terms.rate : 1;
  this->offline_tokens = this->OfflineTokens(now) * scale;
  this->offline_tokens_at = now;
  this->terms = UsageTerms(limit);
  this->offline_rate *= scale;
  for (Grant& grant : this->grants)
    grant.count =
        static_cast<uint64_t>(static_cast<double>(grant.count) * scale);
}

int64_t UsageBudget::SlotOf(TimePoint now) {
  return now.time_since_epoch() / kSlotLength;
}

void UsageBudget::CountUse(int64_t change, TimePoint now) {
  const int64_t slot = SlotOf(now);
  const int64_t cleared = std::min<int64_t>(slot - this->newest_slot, kSlots);
  for (int64_t index = 0; index < cleared; ++index)
    this->uses.at(static_cast<size_t>(slot - index) % kSlots) = 0;
  this->newest_slot = slot;
  this->uses.at(static_cast<size_t>(slot) % kSlots) += change;
}

double UsageBudget::UsedRate(TimePoint now) const {
  const int64_t slot = SlotOf(now);
  int64_t count = 0;
  for (int64_t index = 0; index < static_cast<int64_t>(kSlots); ++index) {
    const int64_t used_slot = slot - index;
    if (used_slot <= this->newest_slot &&
        used_slot > this->newest_slot - static_cast<int64_t>(kSlots))
      count += this->uses.at(static_cast<size_t>(used_slot) % kSlots);
  }
  // The newest slot has not ended.
  const Duration covered = (now.time_since_epoch() % kSlotLength) +
                           kSlotLength * (static_cast<int64_t>(kSlots) - 1);
  return static_cast<double>(std::max<int64_t>(count, 0)) / ToSeconds(covered);
}

std::optional<UsageToken> UsageBudget::Take(TimePoint now) {
  this->Refresh(now);
  while (!this->grants.empty() && (this->grants.front().count == 0 ||
                                   this->grants.front().expires_at <= now))
    this->grants.pop_front();
  if (!this->grants.empty()) {
    --this->grants.front().count;
    this->CountUse(1, now);
    this->used_at = now;
    return UsageToken{UsageToken::Source::kAccount,
                      this->grants.front().expires_at};
  }
  UsageToken token;
  const double offline = this->OfflineTokens(now);
  if (offline >= 1) {
    this->offline_tokens = offline - 1;
    this->offline_tokens_at = now;
    this->used_offline += 1;
    token.source = UsageToken::Source::kOfflineRate;
  } else if (this->pooled_tokens > 0) {
    --this->pooled_tokens;
    token.source = UsageToken::Source::kPool;
  } else {
    return std::nullopt;
  }
  this->CountUse(1, now);
  this->used_at = now;
  return token;
}

void UsageBudget::Return(const UsageToken& token, TimePoint now) {
  this->CountUse(-1, now);
  if (token.source == UsageToken::Source::kAccount) {
    if (token.expires_at > now)
      this->grants.push_front(Grant{token.expires_at, 1});
    return;
  }
  // An offline rate that has ended meanwhile is not used again.
  if (!this->offline_since)
    return;
  if (token.source == UsageToken::Source::kPool) {
    ++this->pooled_tokens;
    return;
  }
  this->used_offline = std::max(this->used_offline - 1, 0.0);
  this->offline_tokens =
      std::min(this->OfflineTokens(now) + 1, this->OfflineDepth());
  this->offline_tokens_at = now;
}

uint64_t UsageBudget::GrantedTokens(TimePoint now) const {
  uint64_t count = 0;
  for (const Grant& grant : this->grants) {
    if (grant.expires_at > now)
      count += grant.count;
  }
  return count;
}

uint64_t UsageBudget::TokensAhead(TimePoint now) const {
  return static_cast<uint64_t>(this->UsedRate(now) * kAheadShare *
                               ToSeconds(this->terms.grant_lifetime));
}

double UsageBudget::OfflineDepth() const {
  return this->offline_rate * ToSeconds(this->terms.silence_limit);
}

double UsageBudget::OfflineTokens(TimePoint now) const {
  if (!this->offline_since || !this->knows_holder(now))
    return 0;
  return std::min(
      this->offline_tokens +
          this->offline_rate * ToSeconds(now - this->offline_tokens_at),
      this->OfflineDepth());
}

bool UsageBudget::knows_holder(TimePoint now) const {
  return this->answered_query_at &&
         now < *this->answered_query_at + UsageTerms::kOfflineLifetime;
}

void UsageBudget::StartOffline(TimePoint now) {
  if (this->offline_since)
    return;
  this->offline_since = now;
  this->offline_tokens =
      this->offline_rate * ToSeconds(this->terms.offline_credit);
  this->offline_tokens_at = now;
  this->pooled_tokens = 0;
  this->has_lost_pool = false;
  this->has_pool = false;
  this->next_pool_query_at = now;
  this->pool_query_sent_at = TimePoint{};
}

bool UsageBudget::should_ask(size_t waiting, TimePoint now) const {
  if (this->is_query_outstanding || now < this->next_query_at)
    return false;
  if (waiting > 0 || this->offline_since)
    return true;
  const uint64_t ahead = this->TokensAhead(now);
  if (ahead > 0 && this->GrantedTokens(now) * 2 < ahead)
    return true;
  // The account keeps the rate that the last query reported until the next one.
  return std::max(this->offline_rate, this->reported_rate) > 0 &&
         now - this->query_sent_at >=
             duration_cast<Duration>(this->terms.silence_limit *
                                     kKeepAliveShare);
}

UsageQuery UsageBudget::StartQuery(size_t waiting, TimePoint now) {
  const uint64_t ahead = this->TokensAhead(now);
  const uint64_t granted = this->GrantedTokens(now);
  UsageQuery query;
  // A holder that was frozen answers all queries that it missed, and tokens
  // granted for these would be lost.
  if (!this->offline_since)
    query.wanted = std::min(waiting + (ahead > granted ? ahead - granted : 0),
                            kMaximumWanted);
  query.offline_rate = this->knows_holder(now) ? this->offline_rate : 0;
  // The operations that wait count as well: the first one of a while would
  // otherwise bring no offline rate.
  query.used_rate =
      this->UsedRate(now) +
      static_cast<double>(std::min<uint64_t>(waiting, query.wanted)) /
          ToSeconds(kSlotLength * static_cast<int64_t>(kSlots));
  query.used_offline = this->used_offline;
  this->reported_rate = query.offline_rate;
  ++this->last_query;
  this->is_query_outstanding = true;
  this->query_sent_at = now;
  this->query_wanted = query.wanted;
  return query;
}

void UsageBudget::DidReceive(const UsageAnswer& answer, TimePoint now) {
  if (!answer.is_holder)
    return this->DidLoseAnswer(now);
  this->is_query_outstanding = false;
  this->answered_query_at = this->query_sent_at;
  this->offline_tokens = this->OfflineTokens(now);
  this->offline_tokens_at = now;
  this->offline_rate = answer.offline_rate;
  if (!answer.is_granting) {
    this->next_query_at = now + kRetryInterval;
    return this->StartOffline(now);
  }
  this->offline_since.reset();
  this->pooled_tokens = 0;
  const TimePoint expires_at = this->query_sent_at + this->terms.grant_lifetime;
  if (answer.granted > 0 && expires_at > now)
    this->grants.push_back(Grant{expires_at, answer.granted});
  this->next_query_at = now;
  this->next_token_at.reset();
  if (answer.granted < this->query_wanted) {
    this->next_token_at = now + answer.wait;
    this->next_query_at = now + std::clamp(answer.wait, kMinimumShortInterval,
                                           kMaximumShortInterval);
  }
}

void UsageBudget::DidLoseAnswer(TimePoint now) {
  this->is_query_outstanding = false;
  this->next_query_at = now + kRetryInterval;
  this->next_token_at.reset();
  this->StartOffline(now);
}

void UsageBudget::Refresh(TimePoint now) {
  if (this->is_pool_query_outstanding &&
      now - this->pool_query_sent_at >= kPoolTimeout) {
    ++this->last_pool_query;
    this->DidLosePool(now);
  }
  if (!this->is_query_outstanding)
    return;
  if (now - this->query_sent_at >= kQueryTimeout) {
    // A late answer does not count.
    ++this->last_query;
    return this->DidLoseAnswer(now);
  }
  if (now - this->query_sent_at >= kLateAfter)
    this->StartOffline(now);
}

bool UsageBudget::should_pool(size_t waiting, TimePoint now) const {
  if (!this->offline_since || this->is_pool_query_outstanding ||
      now < this->next_pool_query_at)
    return false;
  return waiting > 0 || (this->offline_rate > 0 && this->knows_holder(now) &&
                         now - this->pool_query_sent_at >= kPoolInterval);
}

UsagePoolQuery UsageBudget::StartPoolQuery(size_t waiting, TimePoint now) {
  UsagePoolQuery query;
  if (this->has_pool) {
    query.deposit = this->OfflineTokens(now);
    this->used_offline += query.deposit;
    this->offline_tokens = 0;
    this->offline_tokens_at = now;
  }
  query.wanted = std::min<uint64_t>(waiting, kMaximumWanted);
  ++this->last_pool_query;
  this->is_pool_query_outstanding = true;
  this->pool_query_sent_at = now;
  return query;
}

void UsageBudget::DidReceivePool(const UsagePoolAnswer& answer, TimePoint now) {
  this->is_pool_query_outstanding = false;
  this->has_lost_pool = false;
  this->next_pool_query_at = this->has_pool ? now + kWaitingPoolInterval : now;
  if (!this->has_pool)
    this->pool_query_sent_at = TimePoint{};
  this->has_pool = true;
  if (this->offline_since)
    this->pooled_tokens += answer.granted;
}

void UsageBudget::DidLosePool(TimePoint now) {
  this->is_pool_query_outstanding = false;
  this->has_lost_pool = true;
  this->has_pool = false;
  this->next_pool_query_at = now;
}

bool UsageBudget::is_hopeless(size_t waiting,
                              Duration limit,
                              TimePoint now) const {
  const auto needed = static_cast<double>(waiting + 1);
  if (this->offline_since) {
    // The pool may bring tokens, whatever rate this proxy has.
    return needed > kMinimumQueue + this->UsedRate(now) * ToSeconds(limit);
  }
  if (!this->next_token_at)
    return false;
  // The other proxies wait for tokens too, so this one expects its recent rate.
  return *this->next_token_at > now + limit ||
         needed > kMinimumQueue + this->UsedRate(now) * ToSeconds(limit);
}

bool UsageBudget::is_idle(TimePoint now) const {
  return !this->is_query_outstanding &&
         now - this->used_at > kSlotLength * static_cast<int64_t>(kSlots) &&
         (std::max(this->offline_rate, this->reported_rate) <= 0 ||
          !this->knows_holder(now));
}

}  // namespace kingcupmill
