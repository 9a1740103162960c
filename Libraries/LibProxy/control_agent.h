#ifndef LIBPROXY_CONTROL_AGENT_H_
#define LIBPROXY_CONTROL_AGENT_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibArrangement/arrangement.h"
#include "LibConfiguration/revision_tracker.h"
#include "LibCore/lifetime_guard.h"
#include "LibCore/names.h"
#include "LibCore/random_source.h"
#include "LibCore/scheduler.h"
#include "LibFailover/promotion_action.h"
#include "LibMembership/member.h"
#include "LibPlatform/platform_row.h"
#include "LibPlatform/vm_record.h"
#include "LibProxy/peer_message.h"
#include "LibProxy/platform_link.h"
#include "LibTarget/target_connector.h"

namespace kingcupmill {

class DecisionLog;
class PeerNetwork;
class ProxyCore;

// Keeps a proxy's arrangement and its list of VMs up to date by polling the
// platform and by exchanging heartbeats with other proxies. The number of
// messages that a proxy sends does not grow with the number of proxies:
//   1. every proxy reads the head record of the arrangement and the VM list at
//      a jittered interval;
//   2. every proxy sends its revision to a few random peers at an interval, and
//      immediately after it has adopted a new one;
//   3. a proxy that learns of a newer revision fetches its text from the store
//      or from the peer that named it.
class ControlAgent {
 public:
  struct Options {
    VmName vm;
    // The minimum time between two polls of the platform.
    Duration poll_interval = std::chrono::milliseconds(1000);
    // The time between two polls is at least this duration times the number of
    // known VMs, so that the load on the platform does not grow with that
    // number.
    Duration poll_interval_per_vm = std::chrono::milliseconds(10);
    Duration heartbeat_interval = std::chrono::milliseconds(1000);
    // The number of random peers that get a heartbeat in each interval, and
    // after this proxy has adopted a revision.
    size_t heartbeat_fanout = 2;
    size_t adoption_fanout = 4;
    // The peers to contact until the VM list is known.
    std::vector<Member> seeds;
    RevisionTracker::DowngradePolicy downgrade_policy =
        RevisionTracker::DowngradePolicy::kRefused;
  };

  using SendAnswer = std::function<void(const PeerMessage&)>;
  using DidAdopt = std::function<void(const Arrangement&)>;

  // `did_adopt` is called with each new arrangement before `core` adopts it.
  ControlAgent(Scheduler& scheduler,
               PlatformLink& platform,
               PeerNetwork& peers,
               ProxyCore& core,
               const DecisionLog& log,
               uint64_t seed,
               Options options,
               DidAdopt did_adopt);
  ~ControlAgent();
  ControlAgent(const ControlAgent&) = delete;
  ControlAgent& operator=(const ControlAgent&) = delete;

  // Handles a control message from a peer; `send_answer` replies to that peer.
  void DidReceive(const PeerMessage& message, const SendAnswer& send_answer);

  // Records a promoted primary in the platform's table unless the table names
  // one of the same or a later term. The record is informational: nothing
  // relies on it, and errors are ignored.
  void RecordPromotion(const GroupName& group, const RecordPrimary& record);

  const RevisionTracker& tracker() const { return this->revisions; }
  const std::vector<Member>& members() const { return this->known_members; }

 private:
  void Poll();
  Duration PollInterval();
  void DidReadHead(const ValueOrError<PlatformRow>& outcome);
  void DidListVms(const ValueOrError<std::vector<VmRecord>>& outcome);
  void SetMembers(std::vector<Member> members);
  void FetchFromStore(const RevisionName& name);
  void DidReceiveText(const RevisionName& name, const std::string& text);

  void SendPeriodicHeartbeats();
  void SendHeartbeats(size_t count);
  HeartbeatMessage MakeHeartbeat(uint64_t number) const;
  void DidReceiveHeartbeat(const HeartbeatMessage& heartbeat,
                           const SendAnswer& send_answer);
  void DidReceiveArrangement(const ArrangementMessage& message);

  Scheduler& scheduler;
  PlatformLink& platform;
  PeerNetwork& peers;
  ProxyCore& core;
  const DecisionLog& log;
  SeededRandom random;
  Options options;
  DidAdopt did_adopt;
  RevisionTracker revisions;
  std::string text_in_force;
  std::vector<Member> known_members;
  bool has_listed_vms = false;
  uint64_t next_number = 1;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBPROXY_CONTROL_AGENT_H_
