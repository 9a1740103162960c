#ifndef LIBRELAY_FORWARDING_GROUP_H_
#define LIBRELAY_FORWARDING_GROUP_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibCore/life_guard.h"
#include "LibCore/scheduler.h"
#include "LibDispatch/group_access.h"
#include "LibPeer/peer_links.h"
#include "LibRelay/home_chooser.h"

namespace kingcupmill {

class EventJournal;

// The way to a group of which this proxy is no home: statements go to homes,
// which queue them, choose the target and hold the lease on the primary.
// Nothing is sent twice unless it did not run or is a read.
class ForwardingGroup final : public GroupAccess {
 public:
  using Homes = std::function<std::vector<Home>()>;

  struct Context {
    Scheduler& scheduler;
    PeerLinks& peers;
    EventJournal& journal;
    // Shared by all groups: a proxy is a home of several.
    HomeChooser& chooser;
    GroupName group;
    // Where this proxy is.
    PlaceName place;
    Homes homes;
    // Whether this proxy is known to be cut off from other places.
    std::function<bool()> is_cut_off;
    // Makes the names of questions unique.
    std::string name_prefix;
  };

  explicit ForwardingGroup(Context context);
  ~ForwardingGroup() override;

  // GroupAccess:
  WorkNumber Submit(WorkRequest request, DidFinishWork did_finish) override;
  void Cancel(WorkNumber number) override;

  // How long the primary has left the homes of this place without an answer, by
  // their latest word; zero when there is none. Where no home is in this place,
  // how long all homes have been silent.
  Duration PrimarySilence() const;

  // Whether a home is in this proxy's place.
  bool has_home_here() const;

  size_t open_count() const { return this->work_by_number.size(); }

 private:
  class Transaction;
  struct Work;
  using WorkPointer = std::shared_ptr<Work>;

  void Try(const WorkPointer& work);
  void Send(const WorkPointer& work, const std::string& address);
  void DidReceive(const WorkPointer& work,
                  const std::string& address,
                  const std::string& name,
                  const std::optional<PeerAnswer>& answer);
  void DidLose(const WorkPointer& work);
  void DidHearOfPrimary(const std::string& address, Duration silence);
  void DidHangOn(const WorkPointer& work);
  void Finish(const WorkPointer& work, WorkOutcome outcome);
  void Refuse(const WorkPointer& work);
  // Rolls back a transaction that a home may have opened.
  void End(const std::string& address, const std::string& name);
  std::unique_ptr<CallerTransaction> Open(const Work& work,
                                          const std::string& address,
                                          const std::string& name);

  Context context;
  std::map<WorkNumber, WorkPointer> work_by_number;
  // The latest word of a home of this place, and when it came.
  Duration told_silence{};
  TimePoint told_at{};
  WorkNumber next_number = 1;
  uint64_t next_name = 1;
  LifeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBRELAY_FORWARDING_GROUP_H_
