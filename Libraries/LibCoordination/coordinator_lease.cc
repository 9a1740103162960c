#include "LibCoordination/coordinator_lease.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace kingcupmill {

namespace {

// Covers one promotion order and slow answers of the store. After the holder is
// lost, its successor waits this long plus kSuccessorMargin.
constexpr Duration kLeaseLength = std::chrono::milliseconds(2500);
// Allows for an order that the network delays past its sender's timeout.
constexpr Duration kSuccessorMargin = std::chrono::milliseconds(1500);
// Minimum interval between two writes, which limits retries while the store
// rejects them.
constexpr Duration kWriteInterval = std::chrono::milliseconds(200);
// The longest timeout of an order and the margin above.
constexpr Duration kOrderLifetime = std::chrono::milliseconds(2400);
// The bits of an epoch below the era of the store.
constexpr unsigned kEpochBits = 32;

}  // namespace

CoordinatorLease::CoordinatorLease(
    Scheduler& scheduler,
    RowStore& store,
    const CoordinationView& view,
    VmName self,
    std::string incarnation,
    std::function<bool()> are_earlier_orders_over)
    : scheduler(scheduler),
      store(store),
      view(view),
      self(std::move(self)),
      incarnation(std::move(incarnation)),
      are_earlier_orders_over(std::move(are_earlier_orders_over)) {}

bool CoordinatorLease::is_held_for(Duration duration) const {
  return this->held_era == this->view.era() &&
         this->scheduler.Now() + duration < this->held_until;
}

bool CoordinatorLease::may_have_order() const {
  return this->last_order_at &&
         this->scheduler.Now() < *this->last_order_at + kOrderLifetime;
}

bool CoordinatorLease::was_last_holder() const {
  // A successor must have seen that write and waited as below.
  return this->held_since && this->held_era != this->view.era() &&
         this->view.era_seen_at() <
             *this->held_since + kLeaseLength + kSuccessorMargin;
}

bool CoordinatorLease::is_held_by_other() const {
  const TimePoint now = this->scheduler.Now();
  const CoordinatorRecord& coordinator = this->view.coordinator();
  const bool is_row_current =
      coordinator.version != 0 &&
      coordinator.written_era.value_or(this->view.era()) == this->view.era();
  if (!is_row_current) {
    // The restored store may have lost the row that shows the last holder.
    if (this->was_last_holder() && !this->may_have_order())
      return false;
    return now < this->view.era_seen_at() + kLeaseLength + kSuccessorMargin &&
           !this->are_earlier_orders_over();
  }
  // A row with this VM's name is from an earlier process of the VM. That one
  // has ended and its connections are closed, so no order of it is in flight.
  if (!coordinator.is_held || coordinator.holder == this->self)
    return false;
  return now <
         this->view.coordinator_seen_at() + kLeaseLength + kSuccessorMargin;
}

void CoordinatorLease::Acquire() {
  if (this->pending_nonce || this->is_held_by_other() ||
      this->scheduler.Now() - this->pending_sent_at < kWriteInterval)
    return;
  this->Write(true);
}

void CoordinatorLease::Release() {
  const bool was_held = this->is_held();
  this->held_until = TimePoint{};
  if (was_held)
    this->held_since.reset();
  if (was_held && !this->pending_nonce)
    this->Write(false);
}

void CoordinatorLease::Write(bool is_held) {
  const CoordinatorRecord& coordinator = this->view.coordinator();
  const uint64_t era = this->view.era();
  const uint64_t version =
      EraOf(this->known_version) == era
          ? std::max(coordinator.version, this->known_version)
          : coordinator.version;
  CoordinatorRecord next;
  next.holder = this->self;
  // A renewal or a release keeps the epoch. Each new acquisition increments it,
  // also when the same proxy held the lease before.
  const bool is_same_epoch = this->is_held() || !is_held;
  next.epoch =
      is_same_epoch
          ? this->held_epoch
          : std::max({coordinator.epoch, this->held_epoch, era << kEpochBits}) +
                1;
  next.is_held = is_held;
  next.nonce = this->incarnation + "." + std::to_string(++this->write_number);
  TableChange change;
  change.expected.push_back(
      {std::string(CoordinationView::kCoordinatorKey), version});
  change.puts.push_back({std::string(CoordinationView::kCoordinatorKey),
                         CoordinationView::Encode(next, era)});
  this->pending_nonce = next.nonce;
  this->pending_epoch = next.epoch;
  this->pending_era = era;
  this->pending_sent_at = this->scheduler.Now();
  spdlog::info("event=duty_write held={} epoch={} expected_version={}", is_held,
               next.epoch, NumberOf(version));
  this->store.Change(
      CoordinationView::kTable, std::move(change),
      this->life.Wrap([this, is_held, nonce = next.nonce](
                          ValueOrError<ChangeOutcome> outcome) {
        if (this->pending_nonce != nonce)
          return;
        this->pending_nonce.reset();
        const auto* applied = std::get_if<ChangeOutcome>(&outcome);
        // A write without an answer may still be applied later, but not after
        // the next one, which expects the same version. If it is applied, the
        // row names this proxy and its next acquisition continues from there.
        if (!applied)
          return;
        if (!applied->is_applied ||
            EraOf(applied->version) != this->pending_era)
          return;
        this->known_version = std::max(this->known_version, applied->version);
        if (!is_held)
          return;
        this->held_epoch = this->pending_epoch;
        this->held_era = this->pending_era;
        this->held_until = this->pending_sent_at + kLeaseLength;
        this->held_since = this->pending_sent_at;
      }));
}

}  // namespace kingcupmill
