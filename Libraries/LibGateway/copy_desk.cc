#include "LibGateway/copy_desk.h"

#include <utility>

namespace kingcupmill {

CopyDesk::CopyDesk(Scheduler& scheduler, MakeCopies make_copies)
    : scheduler(scheduler), make_copies(std::move(make_copies)) {}

void CopyDesk::Handle(const CopyQuery& query, const PeerLinks::Answer& answer) {
  const bool must_wait = query.wait > Duration(0);
  CopyAnswer copies = this->make_copies(query);
  bool has_rows = false;
  for (const TableCopy& table : copies.tables)
    has_rows |= table.difference.has_value();
  if (!must_wait || has_rows)
    return answer(copies);
  this->waiting.push_back(Waiting{query, answer, this->scheduler.Now()});
}

void CopyDesk::AnswerNow(const Waiting& waiter) {
  CopyAnswer copies = this->make_copies(waiter.query);
  copies.held = this->scheduler.Now() - waiter.received_at;
  waiter.answer(copies);
}

void CopyDesk::DidRead() {
  for (const Waiting& waiter : std::exchange(this->waiting, {}))
    this->AnswerNow(waiter);
}

void CopyDesk::Tick() {
  const TimePoint now = this->scheduler.Now();
  std::vector<Waiting> still_waiting;
  for (Waiting& waiter : std::exchange(this->waiting, {})) {
    if (now < waiter.received_at + waiter.query.wait)
      still_waiting.push_back(std::move(waiter));
    else
      this->AnswerNow(waiter);
  }
  for (Waiting& waiter : still_waiting)
    this->waiting.push_back(std::move(waiter));
}

}  // namespace kingcupmill
