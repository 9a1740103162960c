#ifndef LIBFAILOVER_PROMOTER_H_
#define LIBFAILOVER_PROMOTER_H_

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "LibCore/names.h"
#include "LibCore/random_source.h"
#include "LibCore/time.h"
#include "LibFailover/adaptive_timeout.h"
#include "LibFailover/group_view.h"
#include "LibFailover/promotion_action.h"

namespace kingcupmill {

// How many targets must grant a term before one of them leads it. A single
// grant is unsafe and exists only to show that the majority is needed.
enum class SealQuorum { kMajority, kSingle };

// Settings of failure detection and promotion.
struct PromoterOptions {
  SealQuorum seal_quorum = SealQuorum::kMajority;
  // Bounds of the silence of a primary after which replicas count it as lost.
  AdaptiveTimeout::Options silence = {std::chrono::milliseconds(300),
                                      std::chrono::seconds(2), 6};
  // A primary that this proxy cannot reach for this long is replaced even
  // though the replicas still hear from it.
  Duration unreachable_limit = std::chrono::seconds(3);
  // Statuses older than this are no evidence.
  Duration evidence_lifetime = std::chrono::milliseconds(800);
  // A proxy of rank n waits n times this long before it tries.
  Duration rank_delay = std::chrono::milliseconds(150);
  Duration seal_timeout = std::chrono::milliseconds(400);
  Duration lead_timeout = std::chrono::milliseconds(400);
  // A failed attempt is followed by a random wait between one and two of these.
  Duration backoff = std::chrono::milliseconds(150);
  // How long a leaving primary refuses writes while a replica catches up.
  Duration hold = std::chrono::milliseconds(250);
  // The time between two attempts to replace a leaving primary.
  Duration hand_over_interval = std::chrono::milliseconds(1000);
  // The time between the hold's answer and the seal.
  Duration hold_settle = std::chrono::milliseconds(8);
};

// Why a promotion is wanted.
enum class PromotionReason {
  kNone,
  kNoPrimary,
  kPrimarySilent,
  kPrimaryUnreachable,
  kPrimaryLeaving,
};

// Decides when a group needs a new primary and drives one promotion:
//   1. wait for this proxy's turn;
//   2. if the primary is leaving, make it hold new writes;
//   3. seal the next term on a majority of the group;
//   4. choose the sealed target with the highest last entry and let it lead;
//   5. record the new primary.
// A seal is exclusive by itself, so two proxies that promote at once only cost
// time. Pure: takes events and the time, returns actions.
template <RandomSource Random>
class Promoter {
 public:
  Promoter(PromoterOptions options, Random& random)
      : options(options), random(random), silence(options.silence) {}

  // Reviews the group; call it after each round of statuses. `rank` is this
  // proxy's place among the group's homes, `leaving` the targets that leave.
  std::vector<PromotionAction> Tick(TimePoint now,
                                    const GroupView& view,
                                    size_t rank,
                                    const std::set<TargetName>& leaving) {
    this->last_reason = this->ReasonFor(now, view, leaving);
    // What looks like a loss must not raise the limit until it hides the loss.
    if (this->last_reason == PromotionReason::kNone)
      this->Learn(view);
    switch (this->phase) {
      case Phase::kWatching:
        if (this->last_reason != PromotionReason::kNone)
          this->StartWaiting(now, view, this->TurnDelay(rank));
        return {};
      case Phase::kWaiting:
        return this->TickWaiting(now, view, rank, leaving);
      case Phase::kHolding:
        if (now >= this->until)
          return this->StartSealing(now, view);
        return {};
      case Phase::kSealing:
      case Phase::kLeading:
        if (now >= this->until)
          this->StartWaiting(now, view, this->BackoffDelay());
        return {};
    }
    return {};
  }

  // The answer to HoldWrites.
  void DidReceiveHold(TimePoint now) {
    if (this->phase == Phase::kHolding)
      this->until = now + this->options.hold_settle;
  }

  // The answer to SealTarget; `status` is valid when it is granted.
  std::vector<PromotionAction> DidReceiveSeal(TimePoint now,
                                              const TargetName& target,
                                              Term term,
                                              bool is_granted,
                                              const TargetStatus& status,
                                              const GroupView& view) {
    if (this->phase != Phase::kSealing || term != this->term)
      return {};
    if (!is_granted) {
      this->tried = std::max(this->tried, status.term);
      return {};
    }
    this->grants[target] = status.last_entry;
    const bool needs_majority =
        this->options.seal_quorum == SealQuorum::kMajority;
    if (this->grants.size() < (needs_majority ? view.majority() : 1))
      return {};
    this->phase = Phase::kLeading;
    this->until = now + this->options.lead_timeout;
    return {LeadTarget{this->ChooseLeader(), this->term}};
  }

  // The answer to LeadTarget.
  std::vector<PromotionAction> DidReceiveLead(TimePoint now,
                                              const TargetName& target,
                                              Term term,
                                              bool is_leading) {
    if (this->phase != Phase::kLeading || term != this->term)
      return {};
    if (!is_leading) {
      this->phase = Phase::kWaiting;
      this->until = now + this->BackoffDelay();
      return {};
    }
    this->phase = Phase::kWatching;
    ++this->promotions;
    return {RecordPrimary{target, term}};
  }

  // Whether a promotion is under way, so that statuses are wanted quickly.
  bool is_active() const { return this->phase != Phase::kWatching; }
  PromotionReason reason() const { return this->last_reason; }
  uint64_t promotion_count() const { return this->promotions; }
  Duration silence_limit() const { return this->silence.timeout(); }

 private:
  // The entries that a replica may lack when a hand-over to it begins.
  static constexpr uint64_t kMaximumHandOverBacklog = 1000;

  enum class Phase { kWatching, kWaiting, kHolding, kSealing, kLeading };

  // Learns from healthy groups how long replicas usually go without hearing
  // from their primary.
  void Learn(const GroupView& view) {
    if (!view.primary())
      return;
    for (const TargetName& member : view.members()) {
      const auto* observation = view.Find(member);
      if (!observation || !observation->is_reachable ||
          observation->received_at <= this->learned_until ||
          observation->status.role != TargetRole::kReplica) {
        continue;
      }
      this->silence.Observe(observation->status.since_primary_heard);
      this->newest_learned =
          std::max(this->newest_learned, observation->received_at);
    }
    this->learned_until = this->newest_learned;
  }

  PromotionReason ReasonFor(TimePoint now,
                            const GroupView& view,
                            const std::set<TargetName>& leaving) const {
    size_t reachable = 0;
    size_t silent = 0;
    for (const TargetName& member : view.members()) {
      const auto* observation = view.Find(member);
      if (!observation || !observation->is_reachable ||
          now - observation->received_at > this->options.evidence_lifetime) {
        continue;
      }
      ++reachable;
      const bool is_silent =
          observation->status.since_primary_heard > this->silence.timeout();
      if (observation->status.role == TargetRole::kReplica && is_silent)
        ++silent;
    }
    // Without a majority no promotion can succeed, and a seal that reaches
    // only a minority would disturb the primary that the others may have.
    if (reachable < view.majority())
      return PromotionReason::kNone;
    if (silent >= view.majority()) {
      return view.primary() ? PromotionReason::kPrimarySilent
                            : PromotionReason::kNoPrimary;
    }
    const auto primary = view.primary();
    if (!primary)
      return this->ReasonWithoutPrimary(now, view);
    const bool has_successor =
        std::any_of(view.members().begin(), view.members().end(),
                    [&](const TargetName& member) {
                      return !leaving.contains(member) &&
                             this->is_following(view, *primary, member);
                    });
    if (leaving.contains(primary->target) && has_successor &&
        now >= this->next_hand_over_at) {
      return PromotionReason::kPrimaryLeaving;
    }
    return PromotionReason::kNone;
  }

  // Whether `member` hears the primary and holds nearly all of its log, so that
  // it catches up while writes are held.
  bool is_following(const GroupView& view,
                    const PrimaryView& primary,
                    const TargetName& member) const {
    const auto* observation = view.Find(member);
    const auto* leader = view.Find(primary.target);
    if (!observation || !observation->is_reachable || member == primary.target)
      return false;
    const TargetStatus& status = observation->status;
    return status.term == primary.term &&
           status.since_primary_heard <= this->silence.timeout() &&
           status.last_entry.position.value + kMaximumHandOverBacklog >=
               leader->status.last_entry.position.value;
  }

  PromotionReason ReasonWithoutPrimary(TimePoint now,
                                       const GroupView& view) const {
    std::optional<TimePoint> lost_at;
    for (const TargetName& member : view.members()) {
      const auto* observation = view.Find(member);
      if (observation && !observation->is_reachable)
        lost_at = std::max(lost_at.value_or(TimePoint()), observation->lost_at);
    }
    if (lost_at && now - *lost_at > this->options.unreachable_limit)
      return PromotionReason::kPrimaryUnreachable;
    return PromotionReason::kNone;
  }

  std::vector<PromotionAction> TickWaiting(
      TimePoint now,
      const GroupView& view,
      size_t rank,
      const std::set<TargetName>& leaving) {
    if (this->last_reason == PromotionReason::kNone) {
      this->phase = Phase::kWatching;
      return {};
    }
    if (view.highest_term() > this->waiting_term) {
      // Another proxy has begun; it gets the time to finish.
      this->StartWaiting(now, view,
                         this->TurnDelay(rank) + this->BackoffDelay());
      return {};
    }
    if (now < this->until)
      return {};
    this->leaving_targets = leaving;
    if (this->last_reason == PromotionReason::kPrimaryLeaving) {
      const PrimaryView primary = *view.primary();
      this->phase = Phase::kHolding;
      this->next_hand_over_at = now + this->options.hand_over_interval;
      this->until = now + this->options.hold / 2;
      return {HoldWrites{primary.target, primary.term, this->options.hold}};
    }
    return this->StartSealing(now, view);
  }

  std::vector<PromotionAction> StartSealing(TimePoint now,
                                            const GroupView& view) {
    this->tried = std::max(this->tried, view.highest_term());
    this->term = Term{++this->tried.value};
    this->grants.clear();
    this->phase = Phase::kSealing;
    this->until = now + this->options.seal_timeout;
    std::vector<PromotionAction> actions;
    for (const TargetName& member : view.members())
      actions.push_back(SealTarget{member, this->term});
    return actions;
  }

  void StartWaiting(TimePoint now, const GroupView& view, Duration delay) {
    this->phase = Phase::kWaiting;
    this->waiting_term = std::max(view.highest_term(), this->tried);
    this->until = now + delay;
  }

  // Of the sealed majority, the highest last entry holds every acknowledged
  // write; among equals a target that stays is preferred.
  TargetName ChooseLeader() const {
    auto best = this->grants.begin();
    for (auto it = this->grants.begin(); it != this->grants.end(); ++it) {
      const bool is_equal = it->second == best->second;
      const bool is_better_equal =
          is_equal && this->leaving_targets.contains(best->first) &&
          !this->leaving_targets.contains(it->first);
      if (it->second > best->second || is_better_equal)
        best = it;
    }
    return best->first;
  }

  Duration TurnDelay(size_t rank) const {
    return static_cast<int64_t>(rank) * this->options.rank_delay;
  }

  Duration BackoffDelay() {
    const auto range = static_cast<uint64_t>(this->options.backoff.count());
    return this->options.backoff +
           Duration(static_cast<int64_t>(this->random.Below(range)));
  }

  PromoterOptions options;
  Random& random;
  AdaptiveTimeout silence;
  TimePoint learned_until;
  TimePoint newest_learned;

  Phase phase = Phase::kWatching;
  PromotionReason last_reason = PromotionReason::kNone;
  TimePoint until;
  TimePoint next_hand_over_at;
  Term waiting_term;
  Term term;
  // The highest term this proxy has tried or was told of.
  Term tried;
  std::map<TargetName, LogPoint> grants;
  std::set<TargetName> leaving_targets;
  uint64_t promotions = 0;
};

}  // namespace kingcupmill

#endif  // LIBFAILOVER_PROMOTER_H_
