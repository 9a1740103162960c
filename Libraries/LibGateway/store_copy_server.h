#ifndef LIBGATEWAY_STORE_COPY_SERVER_H_
#define LIBGATEWAY_STORE_COPY_SERVER_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "LibCore/scheduler.h"
#include "LibPeer/peer_links.h"

namespace kingcupmill {

// Serves this proxy's copies of the store's tables to other proxies: at once if
// they are newer than the query's versions or the query does not wait,
// otherwise after the next read of a table (long polling).
class StoreCopyServer {
 public:
  // Returns the state of the copied tables, with the rows of those that are
  // newer than the query's versions.
  using MakeCopies = std::function<StoreCopyAnswer(const StoreCopyQuery&)>;

  StoreCopyServer(Scheduler& scheduler, MakeCopies make_copies);

  void Handle(const StoreCopyQuery& query,
              const PeerLinks::SendAnswer& send_answer);

  // Answers all pending queries. Called when a table has been read again.
  void DidRead();

  // Answers the pending queries whose wait has elapsed. Called periodically.
  void Tick();

  size_t pending_count() const { return this->pending_queries.size(); }

 private:
  struct PendingQuery {
    StoreCopyQuery query;
    PeerLinks::SendAnswer send_answer;
    TimePoint received_at;
  };

  void Respond(const PendingQuery& pending_query);

  Scheduler& scheduler;
  MakeCopies make_copies;
  std::vector<PendingQuery> pending_queries;
};

}  // namespace kingcupmill

#endif  // LIBGATEWAY_STORE_COPY_SERVER_H_
