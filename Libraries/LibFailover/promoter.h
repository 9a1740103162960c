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

// How many targets must grant a term before one of them becomes its primary.
// kSingle is unsafe and exists only to show that the majority is needed.
enum class SealQuorum { kMajority, kSingle };

// Settings of failure detection and promotion.
struct PromoterOptions {
  SealQuorum seal_quorum = SealQuorum::kMajority;
  // The time without a heartbeat after which a replica considers the primary
  // lost. It adapts within these bounds.
  AdaptiveTimeout::Options silence = {std::chrono::milliseconds(300),
                                      std::chrono::seconds(2), 6};
  // A primary that this proxy cannot reach for this long is replaced even
  // though the replicas still receive its heartbeats.
  Duration unreachable_limit = std::chrono::seconds(3);
  // Older statuses are ignored by failure detection.
  Duration maximum_status_age = std::chrono::milliseconds(800);
  // A proxy of rank n waits for n times this delay before it attempts a
  // promotion, so that the proxies do not compete.
  Duration rank_delay = std::chrono::milliseconds(150);
  Duration seal_timeout = std::chrono::milliseconds(400);
  Duration lead_timeout = std::chrono::milliseconds(400);
  // After a failed attempt the proxy waits for a random time between one and
  // two times this delay.
  Duration backoff = std::chrono::milliseconds(150);
  // How long a leaving primary refuses writes while a replica catches up.
  Duration hold = std::chrono::milliseconds(250);
  // The time between two attempts to replace a leaving primary.
  Duration handover_interval = std::chrono::milliseconds(1000);
  // The time between the response to HoldWrites and the seal.
  Duration hold_settle = std::chrono::milliseconds(8);
};

// Why a promotion is needed.
enum class PromotionReason {
  kNone,
  kNoPrimary,
  kPrimarySilent,
  kPrimaryUnreachable,
  kPrimaryLeaving,
};

// Decides when a group needs a new primary and drives one promotion:
//   1. Wait for the delay of this proxy's rank.
//   2. If the primary is leaving, make it hold new writes.
//   3. Seal the next term on a majority of the group.
//   4. Make the sealed target with the highest last entry the primary.
//   5. Record the new primary.
// A target grants a term to one proxy only, so two proxies that promote at the
// same time are safe and only lose time. The class reads no clock and does no
// I/O: it takes events and the time, and returns actions.
template <RandomSource Random>
class Promoter {
 public:
  Promoter(PromoterOptions options, Random& random)
      : options(options), random(random), silence(options.silence) {}

  // Checks whether a promotion is needed and returns its next actions. Call it
  // regularly. `rank` is this proxy's index in the group's list of home
  // proxies; `leaving` holds the targets that are about to be removed.
  std::vector<PromotionAction> Tick(TimePoint now,
                                    const GroupView& view,
                                    size_t rank,
                                    const std::set<TargetName>& leaving) {
    this->last_reason = this->ReasonToPromote(now, view, leaving);
    // A possible loss of the primary must not be learned as a normal heartbeat
    // delay, because the timeout would then grow until it hides the loss.
    if (this->last_reason == PromotionReason::kNone)
      this->LearnSilence(view);
    switch (this->phase) {
      case Phase::kWatching:
        if (this->last_reason != PromotionReason::kNone)
          this->StartWaiting(now, view, this->RankDelay(rank));
        return {};
      case Phase::kWaiting:
        return this->TickWaiting(now, view, rank, leaving);
      case Phase::kHolding:
        if (now >= this->phase_deadline)
          return this->StartSealing(now, view);
        return {};
      case Phase::kSealing:
      case Phase::kLeading:
        if (now >= this->phase_deadline)
          this->StartWaiting(now, view, this->BackoffDelay());
        return {};
    }
    return {};
  }

  // Call this when the target has accepted HoldWrites.
  void DidReceiveHold(TimePoint now) {
    if (this->phase == Phase::kHolding)
      this->phase_deadline = now + this->options.hold_settle;
  }

  // Call this with the response to SealTarget. `status` is the target's status
  // in that response.
  std::vector<PromotionAction> DidReceiveSeal(TimePoint now,
                                              const TargetName& target,
                                              Term term,
                                              bool is_granted,
                                              const TargetStatus& status,
                                              const GroupView& view) {
    if (this->phase != Phase::kSealing || term != this->term)
      return {};
    if (!is_granted) {
      this->highest_tried_term =
          std::max(this->highest_tried_term, status.term);
      return {};
    }
    this->grants[target] = status.last_entry;
    const bool needs_majority =
        this->options.seal_quorum == SealQuorum::kMajority;
    if (this->grants.size() < (needs_majority ? view.majority() : 1))
      return {};
    this->phase = Phase::kLeading;
    this->phase_deadline = now + this->options.lead_timeout;
    return {LeadTarget{this->ChooseLeader(), this->term}};
  }

  // Call this with the response to LeadTarget.
  std::vector<PromotionAction> DidReceiveLead(TimePoint now,
                                              const TargetName& target,
                                              Term term,
                                              bool is_leading) {
    if (this->phase != Phase::kLeading || term != this->term)
      return {};
    if (!is_leading) {
      this->phase = Phase::kWaiting;
      this->phase_deadline = now + this->BackoffDelay();
      return {};
    }
    this->phase = Phase::kWatching;
    ++this->promotions;
    return {RecordPrimary{target, term}};
  }

  // Whether a promotion is in progress, so that statuses should be requested
  // more often.
  bool is_active() const { return this->phase != Phase::kWatching; }
  PromotionReason reason() const { return this->last_reason; }
  uint64_t promotion_count() const { return this->promotions; }
  Duration silence_timeout() const { return this->silence.timeout(); }

 private:
  // The number of entries that a replica may lack when a handover to it begins.
  static constexpr uint64_t kMaximumHandoverBacklog = 1000;

  enum class Phase { kWatching, kWaiting, kHolding, kSealing, kLeading };

  // Adapts the silence timeout to the heartbeat delays that replicas report
  // while the group is healthy.
  void LearnSilence(const GroupView& view) {
    if (!view.primary())
      return;
    for (const TargetName& member : view.members()) {
      const auto* observation = view.Find(member);
      if (!observation || !observation->is_reachable ||
          observation->received_at <= this->learned_until ||
          observation->status.role != TargetRole::kReplica) {
        continue;
      }
      this->silence.Observe(observation->status.time_since_primary_contact);
      this->newest_learned =
          std::max(this->newest_learned, observation->received_at);
    }
    this->learned_until = this->newest_learned;
  }

  PromotionReason ReasonToPromote(TimePoint now,
                                  const GroupView& view,
                                  const std::set<TargetName>& leaving) const {
    size_t reachable = 0;
    size_t silent = 0;
    for (const TargetName& member : view.members()) {
      const auto* observation = view.Find(member);
      if (!observation || !observation->is_reachable ||
          now - observation->received_at > this->options.maximum_status_age) {
        continue;
      }
      ++reachable;
      const bool is_silent = observation->status.time_since_primary_contact >
                             this->silence.timeout();
      if (observation->status.role == TargetRole::kReplica && is_silent)
        ++silent;
    }
    // Without a majority no promotion can succeed, and sealing a minority would
    // disrupt a primary that the other targets may still have.
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
        now >= this->next_handover_at) {
      return PromotionReason::kPrimaryLeaving;
    }
    return PromotionReason::kNone;
  }

  // Whether `member` receives the primary's heartbeats and has nearly all of
  // its log, so that it can catch up while writes are held.
  bool is_following(const GroupView& view,
                    const PrimaryView& primary,
                    const TargetName& member) const {
    const auto* observation = view.Find(member);
    const auto* leader = view.Find(primary.target);
    if (!observation || !observation->is_reachable || member == primary.target)
      return false;
    const TargetStatus& status = observation->status;
    return status.term == primary.term &&
           status.time_since_primary_contact <= this->silence.timeout() &&
           status.last_entry.position.value + kMaximumHandoverBacklog >=
               leader->status.last_entry.position.value;
  }

  PromotionReason ReasonWithoutPrimary(TimePoint now,
                                       const GroupView& view) const {
    std::optional<TimePoint> unreachable_since;
    for (const TargetName& member : view.members()) {
      const auto* observation = view.Find(member);
      if (observation && !observation->is_reachable)
        unreachable_since = std::max(unreachable_since.value_or(TimePoint()),
                                     observation->unreachable_since);
    }
    if (unreachable_since &&
        now - *unreachable_since > this->options.unreachable_limit)
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
      // Another proxy has started a promotion. Give it time to finish.
      this->StartWaiting(now, view,
                         this->RankDelay(rank) + this->BackoffDelay());
      return {};
    }
    if (now < this->phase_deadline)
      return {};
    this->leaving_targets = leaving;
    if (this->last_reason == PromotionReason::kPrimaryLeaving) {
      const PrimaryView primary = *view.primary();
      this->phase = Phase::kHolding;
      this->next_handover_at = now + this->options.handover_interval;
      this->phase_deadline = now + this->options.hold / 2;
      return {HoldWrites{primary.target, primary.term, this->options.hold}};
    }
    return this->StartSealing(now, view);
  }

  std::vector<PromotionAction> StartSealing(TimePoint now,
                                            const GroupView& view) {
    this->highest_tried_term =
        std::max(this->highest_tried_term, view.highest_term());
    this->term = Term{++this->highest_tried_term.value};
    this->grants.clear();
    this->phase = Phase::kSealing;
    this->phase_deadline = now + this->options.seal_timeout;
    std::vector<PromotionAction> actions;
    for (const TargetName& member : view.members())
      actions.push_back(SealTarget{member, this->term});
    return actions;
  }

  void StartWaiting(TimePoint now, const GroupView& view, Duration delay) {
    this->phase = Phase::kWaiting;
    this->waiting_term =
        std::max(view.highest_term(), this->highest_tried_term);
    this->phase_deadline = now + delay;
  }

  // Returns the target with the highest last entry. Its log has every
  // acknowledged write, because a majority has been sealed. Among equals, a
  // target that is not leaving is preferred.
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

  Duration RankDelay(size_t rank) const {
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
  // When the current phase ends or times out.
  TimePoint phase_deadline;
  TimePoint next_handover_at;
  // The highest known term when this proxy began to wait.
  Term waiting_term;
  // The term of the current attempt.
  Term term;
  // The highest term that this proxy has tried to seal or that a target
  // reported when it rejected a seal.
  Term highest_tried_term;
  // The last entry of each target that has granted `term`.
  std::map<TargetName, LogPoint> grants;
  std::set<TargetName> leaving_targets;
  uint64_t promotions = 0;
};

}  // namespace kingcupmill

#endif  // LIBFAILOVER_PROMOTER_H_
