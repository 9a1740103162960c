#include "LibCoordination/member_registration.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace kingcupmill {

namespace {

// Before the row is written again: the store's answer and the view's next read
// take less.
constexpr Duration kRetryInterval = std::chrono::milliseconds(700);

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

void MemberRegistration::Tick() {
  const TimePoint now = this->scheduler.Now();
  if (this->is_leaving || this->is_registered() ||
      now - this->written_at < kRetryInterval)
    return;
  this->written_at = now;
  spdlog::info("event=register address={} incarnation={}", this->record.address,
               this->record.incarnation);
  TableChange change;
  change.puts.push_back({CoordinationView::MemberKey(this->record.address),
                         CoordinationView::Encode(this->record)});
  this->store.Change(CoordinationView::kTable, std::move(change),
                     [](const ValueOrError<ChangeOutcome>&) {
                       // The view shows whether it was applied.
                     });
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
