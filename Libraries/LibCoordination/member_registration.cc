#include "LibCoordination/member_registration.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace kingcupmill {

namespace {

// Before the row is written again: the store's answer and the view's next read
// take less.
constexpr Duration kRetryInterval = std::chrono::milliseconds(700);
// A proxy that came back and is no home changes nothing for the others. The
// store takes some hundred writes a second, so those of homes go first when
// many come back at once.
constexpr Duration kQuietDelay = std::chrono::milliseconds(2000);

}  // namespace

MemberRegistration::MemberRegistration(Scheduler& scheduler,
                                       RowStore& store,
                                       const CoordinationView& view,
                                       MemberRecord self)
    : scheduler(scheduler), store(store), view(view), record(std::move(self)) {}

bool MemberRegistration::is_registered() const {
  const auto row = this->view.members().find(this->record.address);
  return row != this->view.members().end() && !row->second.is_gone &&
         row->second.incarnation == this->record.incarnation;
}

void MemberRegistration::SetHomeOf(std::set<GroupName> groups) {
  if (groups == this->record.home_of)
    return;
  this->record.home_of = std::move(groups);
  this->written_at = TimePoint{};
}

std::set<GroupName> MemberRegistration::registered_groups() const {
  std::set<GroupName> groups;
  if (!this->is_registered())
    return groups;
  const auto& shown = this->view.members().at(this->record.address).home_of;
  std::set_intersection(
      shown.begin(), shown.end(), this->record.home_of.begin(),
      this->record.home_of.end(), std::inserter(groups, groups.end()));
  return groups;
}

void MemberRegistration::Tick() {
  const TimePoint now = this->scheduler.Now();
  const auto row = this->view.members().find(this->record.address);
  const bool is_shown =
      this->is_registered() && row->second.home_of == this->record.home_of;
  if (this->is_leaving || is_shown || now - this->written_at < kRetryInterval)
    return;
  if (this->may_wait()) {
    if (!this->came_back_at)
      this->came_back_at = now;
    if (now - *this->came_back_at < kQuietDelay)
      return;
  }
  this->written_at = now;
  spdlog::info("event=register address={} incarnation={} home_of={}",
               this->record.address, this->record.incarnation,
               this->record.home_of.size());
  const std::string key = CoordinationView::MemberKey(this->record.address);
  TableChange change;
  // A write whose answer was lost may be performed after a later one; the
  // condition keeps it from undoing that one.
  const uint64_t version = this->KnownVersion();
  change.expected.push_back({key, version});
  change.puts.push_back({key, CoordinationView::Encode(this->record)});
  this->store.Change(
      CoordinationView::kTable, std::move(change),
      this->life.Wrap([this](const ValueOrError<ChangeOutcome>& outcome) {
        // Without an answer the view shows whether it was applied.
        const auto* answered = std::get_if<ChangeOutcome>(&outcome);
        if (answered && answered->is_applied)
          this->written_version =
              std::max(this->written_version, answered->version);
        // Somebody else changed the row.
        if (answered && !answered->is_applied)
          this->written_version = 0;
      }));
}

uint64_t MemberRegistration::KnownVersion() const {
  const auto row = this->view.members().find(this->record.address);
  const uint64_t shown =
      row == this->view.members().end() ? 0 : row->second.version;
  return std::max(shown, this->written_version);
}

bool MemberRegistration::may_wait() const {
  const auto row = this->view.members().find(this->record.address);
  const bool has_come_back =
      row != this->view.members().end() && !row->second.is_gone &&
      row->second.incarnation != this->record.incarnation;
  return has_come_back && this->record.home_of.empty() &&
         row->second.home_of.empty();
}

void MemberRegistration::Leave() {
  this->is_leaving = true;
  const auto row = this->view.members().find(this->record.address);
  if (row == this->view.members().end() || !this->is_registered())
    return;
  TableChange change;
  const std::string key = CoordinationView::MemberKey(this->record.address);
  change.expected.push_back({key, row->second.version});
  change.removals.push_back(key);
  this->store.Change(CoordinationView::kTable, std::move(change),
                     [](const ValueOrError<ChangeOutcome>&) {
                       // A row that stays costs the next failover a wait.
                     });
}

}  // namespace kingcupmill
