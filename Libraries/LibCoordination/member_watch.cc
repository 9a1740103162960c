#include "LibCoordination/member_watch.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

#include "LibDispatch/event_journal.h"

namespace kingcupmill {

namespace {

constexpr Duration kInterval = std::chrono::milliseconds(1000);
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(400);
// A member that has not been heard for this long does not count as alive.
constexpr Duration kHeardLife = std::chrono::seconds(4);
// A member that has not been heard for this long is marked as gone.
constexpr Duration kGoneAfter = std::chrono::seconds(12);
// Each proxy watches this many others, so that it takes as many lost ones at
// once for a lost proxy to stay unnoticed.
constexpr size_t kWatchedMembers = 3;
// Homes are asked in one round of so many; two rounds fit into kHeardLife.
constexpr uint64_t kRoundsBetweenHomes = 2;
// Proxies of other places that are asked whether this one is cut off; any
// answer tells.
constexpr size_t kAskedOfOtherPlaces = 6;

}  // namespace

MemberWatch::MemberWatch(Context context) : context(std::move(context)) {}

void MemberWatch::Tick() {
  const TimePoint now = this->context.scheduler.Now();
  if (now - this->asked_at < kInterval)
    return;
  this->asked_at = now;
  const std::vector<std::string> watched = this->Watched();
  this->MarkSilent(watched);
  std::set<std::string> asked(watched.begin(), watched.end());
  // Homes of the same groups are asked too, if less often: only the live have a
  // place in the order of those that replace a primary.
  if (this->round++ % kRoundsBetweenHomes == 0) {
    const std::vector<GroupName> groups = this->context.groups();
    for (const auto& [address, member] : this->context.view.members()) {
      const std::set<GroupName>& home_of = member.home_of;
      const bool is_shared = std::any_of(
          groups.begin(), groups.end(),
          [&](const GroupName& group) { return home_of.contains(group); });
      if (is_shared && !member.is_gone && address != this->context.self_address)
        asked.insert(address);
    }
  }
  // Silence counts from the first question after a time without any.
  std::erase_if(this->heard_at, [&](const auto& heard) {
    return !asked.contains(heard.first) && now - heard.second >= kHeardLife;
  });
  for (const std::string& address : asked)
    this->Ask(address);
  // A proxy without traffic learns by this alone that it is cut off.
  this->AskOfOtherPlaces(1);
}

void MemberWatch::AskOtherPlaces() {
  this->AskOfOtherPlaces(kAskedOfOtherPlaces);
}

void MemberWatch::AskOfOtherPlaces(size_t most) {
  std::vector<std::string> others;
  for (const auto& [address, member] : this->context.view.members()) {
    if (member.place != this->context.place && !member.is_gone)
      others.push_back(address);
  }
  const size_t count = std::min(most, others.size());
  for (size_t asked = 0; asked < count; ++asked)
    this->Ask(others[this->next_other_place++ % others.size()]);
}

bool MemberWatch::is_elsewhere(const std::string& address) const {
  const auto member = this->context.view.members().find(address);
  return member != this->context.view.members().end() &&
         member->second.place != this->context.place;
}

void MemberWatch::Ask(const std::string& address) {
  if (!this->others_silent_since && this->is_elsewhere(address))
    this->others_silent_since = this->context.scheduler.Now();
  this->context.peers.Ask(
      address, HealthQuery{}, kAnswerTimeout,
      this->life.Wrap([this, address](const auto& answer) {
        if (answer && std::holds_alternative<HealthAnswer>(*answer))
          this->DidHear(address);
      }));
}

Duration MemberWatch::OtherPlacesSilence() const {
  if (!this->others_silent_since)
    return Duration(0);
  return this->context.scheduler.Now() - *this->others_silent_since;
}

void MemberWatch::DidHear(const std::string& address) {
  this->heard_at[address] = this->context.scheduler.Now();
  if (this->is_elsewhere(address))
    this->others_silent_since.reset();
}

TimePoint MemberWatch::HeardAt(const std::string& address) const {
  const auto found = this->heard_at.find(address);
  return found == this->heard_at.end() ? TimePoint{} : found->second;
}

bool MemberWatch::is_heard(const std::string& address) const {
  const auto heard = this->heard_at.find(address);
  return heard != this->heard_at.end() &&
         this->context.scheduler.Now() - heard->second < kHeardLife;
}

std::vector<std::string> MemberWatch::FollowersOf(
    const std::string& address) const {
  using Place = std::pair<uint64_t, std::string>;
  const auto place_of = [](const std::string& member) {
    return Place(XXH64(member.data(), member.size(), 0), member);
  };
  std::vector<Place> ring;
  for (const auto& [other, member] : this->context.view.members()) {
    if (other != address && !member.is_gone)
      ring.push_back(place_of(other));
  }
  std::sort(ring.begin(), ring.end());
  const auto next =
      std::upper_bound(ring.begin(), ring.end(), place_of(address));
  std::rotate(ring.begin(), next, ring.end());
  std::vector<std::string> followers;
  followers.reserve(ring.size());
  for (auto& [hash, follower] : ring)
    followers.push_back(std::move(follower));
  return followers;
}

std::vector<std::string> MemberWatch::Watched() const {
  std::vector<std::string> watched =
      this->FollowersOf(this->context.self_address);
  watched.resize(std::min(watched.size(), kWatchedMembers));
  return watched;
}

void MemberWatch::MarkSilent(std::span<const std::string> watched) {
  const TimePoint now = this->context.scheduler.Now();
  // Who hears none of them is itself cut off.
  const bool hears_any = std::any_of(
      watched.begin(), watched.end(),
      [this](const std::string& address) { return this->is_heard(address); });
  for (const std::string& address : watched) {
    const TimePoint heard =
        this->heard_at.try_emplace(address, now).first->second;
    if (hears_any && now - heard > kGoneAfter)
      this->MarkGone(address);
  }
  if (hears_any)
    this->ForgetGone();
}

void MemberWatch::MarkGone(const std::string& address) {
  const auto& members = this->context.view.members();
  const auto member = members.find(address);
  if (member == members.end() || member->second.is_gone)
    return;
  this->context.journal.Write(EventJournal::Kind::kBelief,
                              "event=member_gone member={}", address);
  MemberRecord gone = member->second;
  gone.is_gone = true;
  const std::string key = CoordinationView::MemberKey(address);
  TableChange change;
  change.expected.push_back({key, member->second.version});
  change.puts.push_back({key, CoordinationView::Encode(gone)});
  this->context.store.Change(CoordinationView::kTable, std::move(change),
                             [](const ValueOrError<ChangeOutcome>&) {
                               // Tried again while it stays silent.
                             });
}

void MemberWatch::ForgetGone() {
  const TimePoint now = this->context.scheduler.Now();
  for (const auto& [address, member] : this->context.view.members()) {
    const auto gone_at = this->context.view.gone_seen_at(address);
    if (!gone_at || now < *gone_at + 2 * this->context.lease_wait)
      continue;
    // One member does it: the last before it in the ring.
    const std::vector<std::string> followers = this->FollowersOf(address);
    if (followers.empty() || followers.back() != this->context.self_address)
      continue;
    const std::string key = CoordinationView::MemberKey(address);
    TableChange change;
    change.expected.push_back({key, member.version});
    change.removals.push_back(key);
    this->context.store.Change(CoordinationView::kTable, std::move(change),
                               [](const ValueOrError<ChangeOutcome>&) {
                                 // Tried again while the row is there.
                               });
  }
}

}  // namespace kingcupmill
