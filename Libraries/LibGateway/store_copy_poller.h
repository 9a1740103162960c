#ifndef LIBGATEWAY_STORE_COPY_POLLER_H_
#define LIBGATEWAY_STORE_COPY_POLLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/lifetime_guard.h"
#include "LibCore/scheduler.h"
#include "LibPeer/peer_links.h"

namespace kingcupmill {

// Keeps this proxy's copies of the store's tables up to date by long polls to
// proxies that read the store themselves.
class StoreCopyPoller {
 public:
  // Returns the versions of this proxy's copies of the tables.
  using Versions = std::function<std::vector<uint64_t>()>;
  // Receives an answer and the time at which its query was sent.
  using DidReceive = std::function<void(const StoreCopyAnswer&, TimePoint)>;

  StoreCopyPoller(Scheduler& scheduler,
                  PeerLinks& peers,
                  Versions versions,
                  DidReceive did_receive);

  // Sets the proxies to poll, in order of preference. An empty list stops the
  // polling. Answers to earlier queries are ignored if the list changes.
  void SetReaders(std::vector<std::string> readers);

  bool has_store_readers() const { return !this->readers.empty(); }

  // Whether at least one reader has not failed to answer recently.
  bool has_responsive_reader() const;

 private:
  void Poll();
  void PollAfter(Duration delay);
  void SendQuery(const std::string& reader);
  // `is_unreachable` tells that the query could not even be sent.
  void DidFail(const std::string& reader, bool is_unreachable);
  // Returns the first reader that has not failed to answer recently.
  std::optional<std::string> ChooseReader() const;

  Scheduler& scheduler;
  PeerLinks& peers;
  Versions versions;
  DidReceive did_receive;
  std::vector<std::string> readers;
  std::map<std::string, TimePoint> failed_at;
  bool is_polling = false;
  // The reader whose last query got no answer, and which is asked once more.
  std::optional<std::string> suspected_reader;
  // The next query does not wait for changes: after a failure, the copies may
  // already be old.
  bool wants_copies_at_once = false;
  // Incremented with each new list of readers, so that answers to queries from
  // before the change are ignored.
  uint64_t generation = 0;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBGATEWAY_STORE_COPY_POLLER_H_
