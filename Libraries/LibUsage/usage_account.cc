#include "LibUsage/usage_account.h"

#include <algorithm>
#include <cmath>

namespace kingcupmill {

namespace {

// A proxy's offline rate in relation to its recent use, so that it can follow
// demand while it gets no answers.
constexpr double kOfflineRateFactor = 1.5;
// An offline rate of fewer operations within the silence limit serves nothing
// before it ends, but costs queries.
constexpr double kMinimumOfflineOperations = 0.12;
// A holder that was frozen gets all queries that it has missed at once, oldest
// first, and links that were cut deliver theirs late. What was subtracted for a
// proxy covers the use that it reports until then.
constexpr Duration kReportDelay = std::chrono::milliseconds(1500);
// What a new account has. The bound leaves room for it, and a customer with one
// operation a minute would otherwise be refused for a minute whenever the
// holder changes.
constexpr double kInitialTokens = 3;
// With hundreds of proxies, summing up their rates for every query would take a
// noticeable part of a small VM.
constexpr Duration kAdvanceInterval = std::chrono::milliseconds(5);

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Returns how long the interval [from, to] overlaps [begin, end], in seconds.
double OverlapSeconds(TimePoint from,
                      TimePoint to,
                      TimePoint begin,
                      TimePoint end) {
  return ToSeconds(
      std::max(std::min(to, end) - std::max(from, begin), Duration(0)));
}

}  // namespace

UsageAccount::UsageAccount(const UsageLimit& limit,
                           TimePoint became_holder_at,
                           TimePoint granting_from,
                           TimePoint now)
    : terms(limit),
      unknown_until(became_holder_at + UsageTerms::kOfflineLifetime),
      granting_from(granting_from),
      advanced_at(now),
      tokens(kInitialTokens),
      refill_rate(limit.rate) {}

void UsageAccount::SetLimit(const UsageLimit& limit, TimePoint now) {
  this->Advance(0, now);
  this->terms = UsageTerms(limit);
  this->tokens = std::min(this->tokens, this->terms.depth);
}

void UsageAccount::Advance(double known_share, TimePoint now) {
  if (now - this->advanced_at < kAdvanceInterval)
    return;
  const TimePoint refilled_from =
      std::max(this->advanced_at, this->granting_from);
  double subtracted = 0;
  double silent_sum = 0;
  for (auto entry = this->proxies.begin(); entry != this->proxies.end();) {
    Proxy& proxy = entry->second;
    const TimePoint silent_from = proxy.heard_at + this->terms.silence_limit;
    const TimePoint expires_at = proxy.heard_at + UsageTerms::kOfflineLifetime;
    if (now > silent_from) {
      proxy.reserved += proxy.held * OverlapSeconds(this->advanced_at, now,
                                                    silent_from, expires_at);
      proxy.reserved_until = now + kReportDelay;
    }
    subtracted += proxy.held *
                  OverlapSeconds(refilled_from, now, silent_from, expires_at);
    if (now >= expires_at) {
      this->SetHeld(proxy, 0);
      this->wanted_sum -= proxy.wanted_rate;
      entry = this->proxies.erase(entry);
      continue;
    }
    if (now >= silent_from)
      silent_sum += proxy.held;
    ++entry;
  }
  const double unknown_rate =
      std::max(this->terms.rate - this->held_sum, 0.0) * (1 - known_share);
  subtracted += unknown_rate * OverlapSeconds(refilled_from, now, TimePoint{},
                                              this->unknown_until);
  const double refill = this->terms.rate * OverlapSeconds(refilled_from, now,
                                                          refilled_from, now) -
                        subtracted;
  this->tokens =
      std::min(this->tokens + std::max(refill, 0.0), this->terms.depth);
  this->refill_rate = this->terms.rate - silent_sum -
                      (this->may_have_unknown_rates(now) ? unknown_rate : 0.0);
  this->advanced_at = now;
}

void UsageAccount::SetHeld(Proxy& proxy, double held) {
  this->held_sum = std::max(this->held_sum + held - proxy.held, 0.0);
  proxy.held = held;
}

double UsageAccount::OfflineRateFor(const Proxy& proxy,
                                    double reported,
                                    TimePoint now) {
  const double left =
      std::max(this->terms.rate - (this->held_sum - proxy.held), 0.0);
  // The rates of the predecessor stay in force until this account grants.
  if (now < this->granting_from)
    return std::min(reported, left);
  const double scale =
      std::min(1.0, this->terms.rate / std::max(this->wanted_sum, 1e-9));
  const double rate = std::min(proxy.wanted_rate * scale, left);
  return rate * ToSeconds(this->terms.silence_limit) < kMinimumOfflineOperations
             ? 0
             : rate;
}

UsageAnswer UsageAccount::Answer(const UsageQuery& query,
                                 double known_share,
                                 TimePoint now) {
  this->Advance(known_share, now);
  const bool is_granting = now >= this->granting_from;
  const bool is_new = !this->proxies.contains(query.proxy);
  Proxy& proxy = this->proxies[query.proxy];
  // The account pays for what the proxy has used beyond what was subtracted for
  // it. A smaller count means that its process has restarted.
  if (now > proxy.reserved_until)
    proxy.reserved = 0;
  if (!is_new && is_granting && query.used_offline >= proxy.used_offline) {
    const double used = query.used_offline - proxy.used_offline;
    const double covered = std::min(used, proxy.reserved);
    proxy.reserved -= covered;
    this->tokens -= used - covered;
  }
  proxy.used_offline = query.used_offline;
  proxy.heard_at = now;
  this->SetHeld(proxy, query.offline_rate);
  const double wanted_rate =
      std::min(query.used_rate * kOfflineRateFactor, this->terms.rate);
  this->wanted_sum =
      std::max(this->wanted_sum + wanted_rate - proxy.wanted_rate, 0.0);
  proxy.wanted_rate = wanted_rate;

  UsageAnswer answer;
  answer.is_holder = true;
  answer.is_granting = is_granting;
  answer.offline_rate = this->OfflineRateFor(proxy, query.offline_rate, now);
  // The answer may be lost, so the proxy may go on with its earlier rate.
  this->SetHeld(proxy, std::max(query.offline_rate, answer.offline_rate));
  if (!is_granting)
    return answer;
  answer.granted = std::min<uint64_t>(
      query.wanted, static_cast<uint64_t>(std::max(this->tokens, 0.0)));
  this->tokens -= static_cast<double>(answer.granted);
  if (answer.granted < query.wanted && this->tokens < 1) {
    const double seconds =
        (1 - this->tokens) / std::max(this->refill_rate, 0.1);
    answer.wait = duration_cast<Duration>(
        std::chrono::duration<double>(std::min(seconds, 10.0)));
  }
  return answer;
}

}  // namespace kingcupmill
