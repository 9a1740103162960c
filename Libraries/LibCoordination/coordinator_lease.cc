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

}  // namespace

CoordinatorLease::CoordinatorLease(Scheduler& scheduler,
                                   RowStore& store,
                                   const CoordinationView& view,
                                   VmName self,
                                   std::string incarnation)
    : scheduler(scheduler),
      store(store),
      view(view),
      self(std::move(self)),
      incarnation(std::move(incarnation)) {}

bool CoordinatorLease::is_held_for(Duration duration) const {
  return this->scheduler.Now() + duration < this->held_until;
}

bool CoordinatorLease::is_held_by_other() const {
  const CoordinatorRecord& coordinator = this->view.coordinator();
  // A row with this VM's name is from an earlier process of the VM. That one
  // has ended and its connections are closed, so no order of it is in flight.
  if (!coordinator.is_held || coordinator.holder == this->self)
    return false;
  return this->scheduler.Now() <
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
  if (was_held && !this->pending_nonce)
    this->Write(false);
}

void CoordinatorLease::Write(bool is_held) {
  const CoordinatorRecord& coordinator = this->view.coordinator();
  const uint64_t version = std::max(coordinator.version, this->known_version);
  CoordinatorRecord next;
  next.holder = this->self;
  // A renewal or a release keeps the epoch. Each new acquisition increments it,
  // also when the same proxy held the lease before.
  const bool is_same_epoch = this->is_held() || !is_held;
  next.epoch = is_same_epoch
                   ? this->held_epoch
                   : std::max(coordinator.epoch, this->held_epoch) + 1;
  next.is_held = is_held;
  next.nonce = this->incarnation + "." + std::to_string(++this->write_number);
  TableChange change;
  change.expected.push_back(
      {std::string(CoordinationView::kCoordinatorKey), version});
  change.puts.push_back({std::string(CoordinationView::kCoordinatorKey),
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
        this->pending_nonce.reset();
        const auto* applied = std::get_if<ChangeOutcome>(&outcome);
        // A write without an answer may still be applied later, but not after
        // the next one, which expects the same version. If it is applied, the
        // row names this proxy and its next acquisition continues from there.
        if (!applied)
          return;
        if (!applied->is_applied)
          return;
        this->known_version = std::max(this->known_version, applied->version);
        if (!is_held)
          return;
        this->held_epoch = this->pending_epoch;
        this->held_until = this->pending_sent_at + kLeaseLength;
      }));
}

}  // namespace kingcupmill
