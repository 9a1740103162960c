#include "LibGateway/store_copy_server.h"

#include <utility>

namespace kingcupmill {

StoreCopyServer::StoreCopyServer(Scheduler& scheduler, MakeCopies make_copies)
    : scheduler(scheduler), make_copies(std::move(make_copies)) {}

void StoreCopyServer::Handle(const StoreCopyQuery& query,
                             const PeerLinks::SendAnswer& send_answer) {
  const bool must_wait = query.wait > Duration(0);
  StoreCopyAnswer copies = this->make_copies(query);
  bool has_rows = false;
  for (const TableCopy& table : copies.tables)
    has_rows |= table.delta.has_value();
  if (!must_wait || has_rows)
    return send_answer(copies);
  this->pending_queries.push_back(
      PendingQuery{query, send_answer, this->scheduler.Now()});
}

void StoreCopyServer::Respond(const PendingQuery& pending_query) {
  StoreCopyAnswer copies = this->make_copies(pending_query.query);
  copies.held = this->scheduler.Now() - pending_query.received_at;
  pending_query.send_answer(copies);
}

void StoreCopyServer::DidRead() {
  for (const PendingQuery& pending_query :
       std::exchange(this->pending_queries, {}))
    this->Respond(pending_query);
}

void StoreCopyServer::Tick() {
  const TimePoint now = this->scheduler.Now();
  std::vector<PendingQuery> still_pending;
  for (PendingQuery& pending_query : std::exchange(this->pending_queries, {})) {
    if (now < pending_query.received_at + pending_query.query.wait)
      still_pending.push_back(std::move(pending_query));
    else
      this->Respond(pending_query);
  }
  for (PendingQuery& pending_query : still_pending)
    this->pending_queries.push_back(std::move(pending_query));
}

}  // namespace kingcupmill
