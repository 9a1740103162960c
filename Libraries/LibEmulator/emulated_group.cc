#include "LibEmulator/emulated_group.h"

#include <algorithm>
#include <utility>

namespace kingcupmill {

namespace {

constexpr Duration kReplicationInterval = std::chrono::milliseconds(10);
constexpr Duration kPromotionTime = std::chrono::milliseconds(300);
constexpr Duration kDemotionDelay = std::chrono::seconds(1);
constexpr size_t kTargets = 3;
constexpr size_t kMaximumLogLengths = 2000;

}  // namespace

EmulatedGroup::EmulatedGroup(Scheduler& scheduler,
                             ConsistencyChecker& checker,
                             GroupName name,
                             uint64_t seed,
                             size_t synchronous_replicas)
    : scheduler(scheduler),
      checker(checker),
      group_name(std::move(name)),
      synchronous_replicas(synchronous_replicas) {
  for (size_t index = 0; index < kTargets; ++index) {
    this->members.push_back(std::make_unique<EmulatedTarget>(
        scheduler, checker, this->group_name,
        TargetName{this->group_name.value + "-" + std::to_string(index)},
        seed + index));
    if (synchronous_replicas > 0)
      this->members.back()->RequireReplicas();
  }
  if (synchronous_replicas > 0)
    checker.DidDeclareSynchronousReplicas(this->group_name);
  this->members[0]->Lead(Term{1});
  this->Replicate();
}

EmulatedTarget* EmulatedGroup::Find(const TargetName& target) {
  for (const auto& member : this->members) {
    if (member->name() == target)
      return member.get();
  }
  return nullptr;
}

void EmulatedGroup::Replicate() {
  const TimePoint now = this->scheduler.Now();
  EmulatedTarget& source = this->leader();
  if (source.is_running() && !source.has_lost_log()) {
    this->log_lengths.emplace_back(now, source.log().size());
    if (this->log_lengths.size() > kMaximumLogLengths)
      this->log_lengths.erase(this->log_lengths.begin());
    for (const auto& member : this->members) {
      if (member.get() == &source || !member->is_running() ||
          this->replication_faults > 0)
        continue;
      // A former primary keeps its role for this long after the promotion, even
      // if it can reach the new one.
      if (member->is_primary() && now < this->promoted_at + kDemotionDelay)
        continue;
      size_t visible = 0;
      for (const auto& [at, length] : this->log_lengths) {
        if (at + this->LagOf(member->name()) <= now)
          visible = length;
      }
      member->StepDown(source.term());
      member->CopyLog(source.log(), visible, source.term());
    }
    this->Acknowledge();
  }
  this->scheduler.PostAfter(kReplicationInterval,
                            [this] { this->Replicate(); });
}

void EmulatedGroup::SetLag(const TargetName& target, Duration lag) {
  this->own_lags.insert_or_assign(target, lag);
}

Duration EmulatedGroup::LagOf(const TargetName& target) const {
  const auto own = this->own_lags.find(target);
  return own == this->own_lags.end() ? this->lag : own->second;
}

void EmulatedGroup::Acknowledge() {
  if (this->synchronous_replicas == 0)
    return;
  EmulatedTarget& source = this->leader();
  std::vector<size_t> held;
  for (const auto& member : this->members) {
    if (member.get() == &source || !member->is_running())
      continue;
    size_t common = 0;
    const size_t shorter = std::min(member->log().size(), source.log().size());
    while (common < shorter && member->log()[common] == source.log()[common])
      ++common;
    held.push_back(common);
  }
  if (held.size() < this->synchronous_replicas)
    return;
  std::sort(held.rbegin(), held.rend());
  source.DidReplicate(held[this->synchronous_replicas - 1]);
}

bool EmulatedGroup::Promote(const TargetName& target) {
  for (size_t index = 0; index < this->members.size(); ++index) {
    if (this->members[index]->name() != target)
      continue;
    if (!this->members[index]->is_running())
      return false;
    if (index == this->leader_index && this->leader().is_primary())
      return true;
    this->scheduler.PostAfter(kPromotionTime,
                              [this, index] { this->FinishPromotion(index); });
    return true;
  }
  return false;
}

void EmulatedGroup::FinishPromotion(size_t index) {
  const bool leads = index == this->leader_index && this->leader().is_primary();
  if (!this->members[index]->is_running() || leads)
    return;
  const Term term{this->leader().term().value + 1};
  this->leader_index = index;
  ++this->promotion_count;
  this->promoted_at = this->scheduler.Now();
  this->log_lengths.clear();
  this->leader().Lead(term);
  this->checker.DidPromote(this->group_name, this->leader().name(),
                           this->leader().log());
  this->log_lengths.emplace_back(TimePoint{}, this->leader().log().size());
}

}  // namespace kingcupmill
