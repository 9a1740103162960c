#include "LibCoordination/member_registration.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace kingcupmill {

namespace {

// Interval before the row is written again. The store's answer and the view's
// next read take less.
constexpr Duration kRetryInterval = std::chrono::milliseconds(700);
// The row of a restarted proxy that is not a home changes nothing for the other
// proxies. The store takes a few hundred writes a second, so such rows are
// delayed to let homes write first when many proxies restart at once.
constexpr Duration kRestartWriteDelay = std::chrono::milliseconds(2000);

}  // namespace

MemberRegistration::MemberRegistration(Scheduler& scheduler,
                                       RowStore& store,
                                       const CoordinationView& view,
                                       MemberRecord self)
    : scheduler(scheduler), store(store), view(view), record(std::move(self)) {}

bool MemberRegistration::is_registered() const {
  const auto row = this->view.members().find(this->record.address);
  return row != this->view.members().end() && row->second.has_leases() &&
         row->second.incarnation == this->record.incarnation;
}

void MemberRegistration::SetHomeGroups(std::set<GroupName> groups) {
  if (groups == this->record.home_of)
    return;
  this->record.home_of = std::move(groups);
  this->last_write_at = TimePoint{};
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
  const bool is_up_to_date =
      this->is_registered() && row->second.home_of == this->record.home_of;
  if (this->is_deregistered || is_up_to_date ||
      now - this->last_write_at < kRetryInterval)
    return;
  if (this->can_defer_write()) {
    if (!this->restart_seen_at)
      this->restart_seen_at = now;
    if (now - *this->restart_seen_at < kRestartWriteDelay)
      return;
  }
  this->last_write_at = now;
  spdlog::info("event=register address={} incarnation={} home_of={}",
               this->record.address, this->record.incarnation,
               this->record.home_of.size());
  const std::string key = CoordinationView::MemberKey(this->record.address);
  TableChange change;
  // A write whose answer was lost may reach the store after a later one. The
  // expected version keeps it from overwriting that one.
  const uint64_t version = this->KnownVersion();
  change.expected.push_back({key, version});
  change.puts.push_back(
      {key, CoordinationView::Encode(this->record, this->view.era())});
  this->store.Change(
      CoordinationView::kTable, std::move(change),
      this->life.Wrap([this](const ValueOrError<ChangeOutcome>& outcome) {
        // Without an answer, the view shows whether the write was applied.
        const auto* answered = std::get_if<ChangeOutcome>(&outcome);
        if (answered && answered->is_applied)
          this->confirmed_version =
              std::max(this->confirmed_version, answered->version);
        // Another proxy has changed the row.
        if (answered && !answered->is_applied)
          this->confirmed_version = 0;
      }));
}

uint64_t MemberRegistration::KnownVersion() const {
  const auto row = this->view.members().find(this->record.address);
  const uint64_t shown =
      row == this->view.members().end() ? 0 : row->second.version;
  // The restored store may have lost the row.
  if (EraOf(this->confirmed_version) != this->view.era())
    return shown;
  return std::max(shown, this->confirmed_version);
}

bool MemberRegistration::can_defer_write() const {
  const auto row = this->view.members().find(this->record.address);
  const bool is_restart = row != this->view.members().end() &&
                          !row->second.is_gone &&
                          row->second.incarnation != this->record.incarnation;
  return is_restart && this->record.home_of.empty() &&
         row->second.home_of.empty();
}

void MemberRegistration::Deregister(Row row_change) {
  this->is_deregistered = true;
  const auto row = this->view.members().find(this->record.address);
  if (row == this->view.members().end() || !this->is_registered())
    return;
  TableChange change;
  const std::string key = CoordinationView::MemberKey(this->record.address);
  change.expected.push_back({key, row->second.version});
  if (row_change == Row::kRemove) {
    change.removals.push_back(key);
  } else {
    MemberRecord gone = row->second;
    gone.is_gone = true;
    change.puts.push_back(
        {key, CoordinationView::Encode(gone, this->view.era())});
  }
  this->store.Change(CoordinationView::kTable, std::move(change),
                     [](const ValueOrError<ChangeOutcome>&) {
                       // If the row remains, the group's next handover waits
                       // for this proxy's lease to expire.
                     });
}

}  // namespace kingcupmill
