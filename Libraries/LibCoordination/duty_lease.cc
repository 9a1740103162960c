#include "LibCoordination/duty_lease.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace kingcupmill {

namespace {

// Long enough for an order and the store's slow answers; a successor of a lost
// holder waits this long and the slack.
constexpr Duration kDutyLease = std::chrono::milliseconds(2500);
// For an order that a link holds up after its sender has given up.
constexpr Duration kSuccessorSlack = std::chrono::milliseconds(1500);
// A write whose answer was lost may be applied this much later.
constexpr Duration kPendingLimit = std::chrono::seconds(7);

}  // namespace

DutyLease::DutyLease(Scheduler& scheduler,
                     RowStore& store,
                     const CoordinationView& view,
                     VmName self,
                     std::string incarnation)
    : scheduler(scheduler),
      store(store),
      view(view),
      self(std::move(self)),
      incarnation(std::move(incarnation)) {}

bool DutyLease::is_held_for(Duration duration) const {
  return this->scheduler.Now() + duration < this->held_until;
}

bool DutyLease::is_taken_by_other() const {
  const DutyRecord& duty = this->view.duty();
  if (!duty.is_held || duty.nonce.starts_with(this->incarnation))
    return false;
  return this->scheduler.Now() <
         this->view.duty_seen_at() + kDutyLease + kSuccessorSlack;
}

void DutyLease::Take() {
  if (this->pending_nonce || this->is_taken_by_other())
    return;
  this->Write(true);
}

void DutyLease::Release() {
  const bool was_held = this->is_held();
  this->held_until = TimePoint{};
  if (was_held && !this->pending_nonce)
    this->Write(false);
}

void DutyLease::Write(bool is_held) {
  const DutyRecord& duty = this->view.duty();
  const uint64_t version = std::max(duty.version, this->known_version);
  DutyRecord next;
  next.holder = this->self;
  // An extension keeps the epoch; a new reign, also of the same proxy, has its
  // own.
  const bool is_extension = this->is_held() || !is_held;
  next.epoch = is_extension ? this->held_epoch
                            : std::max(duty.epoch, this->held_epoch) + 1;
  next.is_held = is_held;
  next.nonce = this->incarnation + "." + std::to_string(++this->write_number);
  TableChange change;
  change.expected.push_back({std::string(CoordinationView::kDutyKey), version});
  change.puts.push_back({std::string(CoordinationView::kDutyKey),
                         CoordinationView::Encode(next)});
  this->pending_nonce = next.nonce;
  this->pending_epoch = next.epoch;
  this->pending_sent_at = this->scheduler.Now();
  spdlog::info("event=duty_write held={} epoch={} expected_version={}", is_held,
               next.epoch, version);
  this->store.Change(
      CoordinationView::kTable, std::move(change),
      this->life.Wrap([this, is_held, nonce = next.nonce](
                          ValueOrError<ChangeOutcome> outcome) {
        if (this->pending_nonce != nonce)
          return;
        const auto* applied = std::get_if<ChangeOutcome>(&outcome);
        // Without an answer the write may be applied at any later moment; the
        // row will show it.
        if (!applied)
          return;
        this->pending_nonce.reset();
        if (!applied->is_applied)
          return;
        this->known_version = std::max(this->known_version, applied->version);
        if (!is_held)
          return;
        this->held_epoch = this->pending_epoch;
        this->held_until = this->pending_sent_at + kDutyLease;
      }));
}

void DutyLease::DidChangeView() {
  if (!this->pending_nonce)
    return;
  const DutyRecord& duty = this->view.duty();
  if (duty.nonce == *this->pending_nonce && duty.is_held) {
    this->pending_nonce.reset();
    this->held_epoch = this->pending_epoch;
    this->held_until = this->pending_sent_at + kDutyLease;
    return;
  }
  const bool is_overtaken = duty.version > this->known_version &&
                            duty.nonce != *this->pending_nonce &&
                            duty.epoch >= this->pending_epoch;
  if (is_overtaken ||
      this->scheduler.Now() > this->pending_sent_at + kPendingLimit)
    this->pending_nonce.reset();
}

}  // namespace kingcupmill
