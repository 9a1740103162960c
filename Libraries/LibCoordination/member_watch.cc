#include "LibCoordination/member_watch.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "LibDispatch/event_log.h"

namespace kingcupmill {

namespace {

constexpr Duration kQueryInterval = std::chrono::milliseconds(1000);
constexpr Duration kQueryTimeout = std::chrono::milliseconds(400);
// A member counts as alive for this long after its last answer.
constexpr Duration kRecentAnswerAge = std::chrono::seconds(4);
// A member that has not answered for this long, which is two queries, is barred
// from leases.
constexpr Duration kBarredAfter = std::chrono::milliseconds(2200);
// A member that has not answered for this long is marked as gone.
constexpr Duration kGoneAfter = std::chrono::seconds(12);
// A coordinator waits for the leases of a member whose row it sees, so the row
// stays until the longest lease of any version has expired.
constexpr Duration kRowRetention = std::chrono::seconds(16);
// Each proxy is watched by this many others, so a failed proxy goes unnoticed
// only if all of these fail at the same time.
constexpr size_t kWatchedMembers = 3;
// Homes of shared groups are queried in one of this many rounds. Two such
// queries fit into kRecentAnswerAge.
constexpr uint64_t kRoundsPerHomeQuery = 2;
// Number of proxies of other availability zones that are queried at once to
// find out whether this proxy is isolated. A single answer shows that it isn't.
constexpr size_t kOtherPlacesQueried = 6;

}  // namespace

MemberWatch::MemberWatch(Context context) : context(std::move(context)) {}

void MemberWatch::Tick() {
  const TimePoint now = this->context.scheduler.Now();
  if (now - this->queried_at < kQueryInterval)
    return;
  this->queried_at = now;
  const std::vector<std::string> watched = this->Watched();
  this->ExcludeSilent(watched);
  std::set<std::string> queried(watched.begin(), watched.end());
  // Homes of the same groups are queried too, but less often: only live homes
  // are ranked for a handover.
  if (this->round++ % kRoundsPerHomeQuery == 0) {
    const std::vector<GroupName> groups = this->context.groups();
    for (const auto& [address, member] : this->context.view.members()) {
      const std::set<GroupName>& home_of = member.home_of;
      const bool is_shared = std::any_of(
          groups.begin(), groups.end(),
          [&](const GroupName& group) { return home_of.contains(group); });
      if (is_shared && !member.is_gone && address != this->context.self_address)
        queried.insert(address);
    }
  }
  // For a member that was not queried for a while, silence is counted from the
  // next query.
  std::erase_if(this->last_answer_at, [&](const auto& last_answer) {
    return !queried.contains(last_answer.first) &&
           now - last_answer.second >= kRecentAnswerAge;
  });
  for (const std::string& address : queried)
    this->Query(address);
  // Without traffic, this is the only way to detect that the proxy is isolated.
  this->QueryOtherPlaces(1);
}

void MemberWatch::ProbeOtherPlaces() {
  this->QueryOtherPlaces(kOtherPlacesQueried);
}

void MemberWatch::QueryOtherPlaces(size_t limit) {
  std::vector<std::string> others;
  for (const auto& [address, member] : this->context.view.members()) {
    if (member.place != this->context.place && !member.is_gone)
      others.push_back(address);
  }
  const size_t count = std::min(limit, others.size());
  for (size_t queried = 0; queried < count; ++queried)
    this->Query(others[this->next_other_place++ % others.size()]);
}

bool MemberWatch::is_in_other_place(const std::string& address) const {
  const auto member = this->context.view.members().find(address);
  return member != this->context.view.members().end() &&
         member->second.place != this->context.place;
}

void MemberWatch::Query(const std::string& address) {
  if (!this->other_places_silent_since && this->is_in_other_place(address))
    this->other_places_silent_since = this->context.scheduler.Now();
  this->context.peers.Ask(
      address, HealthQuery{}, kQueryTimeout,
      this->life.Wrap([this, address](const auto& answer) {
        if (answer && std::holds_alternative<HealthAnswer>(*answer))
          this->DidReceiveAnswer(address);
      }));
}

Duration MemberWatch::OtherPlacesSilence() const {
  if (!this->other_places_silent_since)
    return Duration(0);
  return this->context.scheduler.Now() - *this->other_places_silent_since;
}

void MemberWatch::DidReceiveAnswer(const std::string& address) {
  this->last_answer_at[address] = this->context.scheduler.Now();
  this->barred.erase(address);
  if (this->is_in_other_place(address))
    this->other_places_silent_since.reset();
}

TimePoint MemberWatch::LastAnswerAt(const std::string& address) const {
  const auto found = this->last_answer_at.find(address);
  return found == this->last_answer_at.end() ? TimePoint{} : found->second;
}

bool MemberWatch::has_recent_answer(const std::string& address) const {
  const auto last_answer = this->last_answer_at.find(address);
  return last_answer != this->last_answer_at.end() &&
         this->context.scheduler.Now() - last_answer->second < kRecentAnswerAge;
}

std::vector<std::string> MemberWatch::SuccessorsOf(
    const std::string& address) const {
  using RingPosition = std::pair<uint64_t, std::string>;
  const auto ring_position_of = [](const std::string& member) {
    return RingPosition(XXH64(member.data(), member.size(), 0), member);
  };
  std::vector<RingPosition> ring;
  for (const auto& [other, member] : this->context.view.members()) {
    if (other != address && !member.is_gone)
      ring.push_back(ring_position_of(other));
  }
  std::sort(ring.begin(), ring.end());
  const auto next =
      std::upper_bound(ring.begin(), ring.end(), ring_position_of(address));
  std::rotate(ring.begin(), next, ring.end());
  std::vector<std::string> successors;
  successors.reserve(ring.size());
  for (auto& [hash, successor] : ring)
    successors.push_back(std::move(successor));
  return successors;
}

std::vector<std::string> MemberWatch::Watched() const {
  std::vector<std::string> watched =
      this->SuccessorsOf(this->context.self_address);
  watched.resize(std::min(watched.size(), kWatchedMembers));
  return watched;
}

void MemberWatch::ExcludeSilent(std::span<const std::string> watched) {
  const TimePoint now = this->context.scheduler.Now();
  // If none of them answers, this proxy itself is likely isolated.
  const bool has_any_answer = std::any_of(
      watched.begin(), watched.end(), [this](const std::string& address) {
        return this->has_recent_answer(address);
      });
  for (const std::string& address : watched) {
    const TimePoint last_answer =
        this->last_answer_at.try_emplace(address, now).first->second;
    if (has_any_answer && now - last_answer > kGoneAfter)
      this->MarkGone(address);
    else if (has_any_answer && now - last_answer > kBarredAfter)
      this->Bar(address);
  }
  if (has_any_answer)
    this->RemoveGoneRows();
}

void MemberWatch::Bar(const std::string& address) {
  const auto& members = this->context.view.members();
  const auto member = members.find(address);
  if (member == members.end() || !member->second.has_leases() ||
      !member->second.lease_length || member->second.home_of.empty() ||
      !this->context.can_exclude() || !this->barred.insert(address).second)
    return;
  this->context.event_log.Write(EventLog::Kind::kStateChange,
                                "event=member_barred member={}", address);
  MemberRecord barred = member->second;
  barred.is_barred = true;
  this->WriteRow(barred);
}

void MemberWatch::MarkGone(const std::string& address) {
  const auto& members = this->context.view.members();
  const auto member = members.find(address);
  if (member == members.end() || member->second.is_gone)
    return;
  this->context.event_log.Write(EventLog::Kind::kStateChange,
                                "event=member_gone member={}", address);
  MemberRecord gone = member->second;
  gone.is_gone = true;
  this->WriteRow(gone);
}

void MemberWatch::WriteRow(const MemberRecord& member) {
  const std::string key = CoordinationView::MemberKey(member.address);
  TableChange change;
  change.expected.push_back({key, member.version});
  change.puts.push_back(
      {key, CoordinationView::Encode(member, this->context.view.era())});
  this->context.store.Change(CoordinationView::kTable, std::move(change),
                             [](const ValueOrError<ChangeOutcome>&) {
                               // Retried while the member stays silent.
                             });
}

void MemberWatch::RemoveGoneRows() {
  const TimePoint now = this->context.scheduler.Now();
  for (const auto& [address, member] : this->context.view.members()) {
    const auto gone_at = this->context.view.member_seen_at(address);
    if (!member.is_gone || !gone_at || now < *gone_at + kRowRetention)
      continue;
    // Only the last member before it on the ring removes the row.
    const std::vector<std::string> successors = this->SuccessorsOf(address);
    if (successors.empty() || successors.back() != this->context.self_address)
      continue;
    const std::string key = CoordinationView::MemberKey(address);
    TableChange change;
    change.expected.push_back({key, member.version});
    change.removals.push_back(key);
    this->context.store.Change(CoordinationView::kTable, std::move(change),
                               [](const ValueOrError<ChangeOutcome>&) {
                                 // Retried while the row exists.
                               });
  }
}

}  // namespace kingcupmill
