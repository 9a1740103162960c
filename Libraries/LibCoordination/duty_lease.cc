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
// Between two writes, while the store refuses them.
constexpr Duration kWriteInterval = std::chrono::milliseconds(200);

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
  // An earlier process of this VM has ended, and its connections with it.
  if (!duty.is_held || duty.holder == this->self)
    return false;
  return this->scheduler.Now() <
         this->view.duty_seen_at() + kDutyLease + kSuccessorSlack;
}

void DutyLease::Take() {
  if (this->pending_nonce || this->is_taken_by_other() ||
      this->scheduler.Now() - this->pending_sent_at < kWriteInterval)
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
        this->pending_nonce.reset();
        const auto* applied = std::get_if<ChangeOutcome>(&outcome);
        // Without an answer the write may be applied at any later moment, but
        // not after the next one, which has the same condition. If it is, the
        // row names this proxy, and the next reign starts from there.
        if (!applied)
          return;
        if (!applied->is_applied)
          return;
        this->known_version = std::max(this->known_version, applied->version);
        if (!is_held)
          return;
        this->held_epoch = this->pending_epoch;
        this->held_until = this->pending_sent_at + kDutyLease;
      }));
}

}  // namespace kingcupmill
