#ifndef LIBGATEWAY_COPY_FOLLOWER_H_
#define LIBGATEWAY_COPY_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/life_guard.h"
#include "LibCore/scheduler.h"
#include "LibPeer/peer_links.h"

namespace kingcupmill {

// Follows the store through proxies that read it, by long polls.
class CopyFollower {
 public:
  // Returns the versions of the tables that this proxy has.
  using Versions = std::function<std::vector<uint64_t>()>;
  // Takes an answer to the question that was sent at the time.
  using DidReceive = std::function<void(const CopyAnswer&, TimePoint)>;

  CopyFollower(Scheduler& scheduler,
               PeerLinks& peers,
               Versions versions,
               DidReceive did_receive);

  // Sets the proxies to ask, the preferred one first; none ends the following.
  void SetReaders(std::vector<std::string> readers);

  bool is_following() const { return !this->readers.empty(); }

  // Whether the latest question to one of the readers was answered.
  bool is_working() const;

 private:
  void Next();
  void Ask(const std::string& reader);
  // Returns the first reader that has not failed lately.
  std::optional<std::string> ChooseReader() const;

  Scheduler& scheduler;
  PeerLinks& peers;
  Versions versions;
  DidReceive did_receive;
  std::vector<std::string> readers;
  std::map<std::string, TimePoint> failed_at;
  bool is_asking = false;
  // Questions of an earlier set of readers have another number.
  uint64_t round = 0;
  LifeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBGATEWAY_COPY_FOLLOWER_H_
