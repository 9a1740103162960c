#ifndef LIBGATEWAY_COPY_DESK_H_
#define LIBGATEWAY_COPY_DESK_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "LibCore/scheduler.h"
#include "LibPeer/peer_links.h"

namespace kingcupmill {

// Answers other proxies' questions for this one's copies of the store, at once
// or when there is something new.
class CopyDesk {
 public:
  // Returns the copies that are newer than the question's versions.
  using MakeCopies = std::function<CopyAnswer(const CopyQuery&)>;

  CopyDesk(Scheduler& scheduler, MakeCopies make_copies);

  void Handle(const CopyQuery& query, const PeerLinks::Answer& answer);

  // Answers all who wait: a table has been read again.
  void DidRead();

  // Answers those who have waited for as long as they wanted. Called at short
  // intervals.
  void Tick();

  size_t waiting_count() const { return this->waiting.size(); }

 private:
  struct Waiting {
    CopyQuery query;
    PeerLinks::Answer answer;
    TimePoint received_at;
  };

  void AnswerNow(const Waiting& waiter);

  Scheduler& scheduler;
  MakeCopies make_copies;
  std::vector<Waiting> waiting;
};

}  // namespace kingcupmill

#endif  // LIBGATEWAY_COPY_DESK_H_
