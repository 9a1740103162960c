#ifndef LIBPROXY_CONTROL_AGENT_H_
#define LIBPROXY_CONTROL_AGENT_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibArrangement/arrangement.h"
#include "LibConfiguration/revision_tracker.h"
#include "LibCore/life_guard.h"
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

// Keeps a proxy's arrangement and its view of the VMs up to date, from polls of
// the platform and from pulses between proxies. The messages a proxy sends do
// not grow with the number of proxies:
//   1. every proxy reads the head of the arrangement and the VM list at a
//      jittered interval;
//   2. every proxy sends its revision to a few random others at an interval,
//      and at once after it has adopted a new one;
//   3. a proxy that hears of a newer revision fetches the text, from the store
//      or from the peer that named it.
class ControlAgent {
 public:
  struct Options {
    VmName vm;
    // The shortest time between two polls of the platform.
    Duration poll_interval = std::chrono::milliseconds(1000);
    // Added up over the known VMs, this is the time between two polls once it
    // is longer, so that the platform's load does not grow with the VMs.
    Duration poll_interval_per_vm = std::chrono::milliseconds(10);
    Duration pulse_interval = std::chrono::milliseconds(1000);
    // The proxies told in each round of pulses, and after an adoption.
    size_t pulse_fanout = 2;
    size_t adoption_fanout = 4;
    // Where to look for peers before the VM list is known.
    std::vector<Member> seeds;
    RevisionTracker::StepBack step_back = RevisionTracker::StepBack::kRefused;
  };

  using Answer = std::function<void(const PeerMessage&)>;
  using DidAdopt = std::function<void(const Arrangement&)>;

  // `did_adopt` is told before the core gets an arrangement.
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

  // Handles a control message of a peer.
  void DidReceive(const PeerMessage& message, const Answer& answer);

  // Writes a promotion into the platform's table, as a directory for others;
  // nothing depends on it.
  void Record(const GroupName& group, const RecordPrimary& record);

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

  void Pulse();
  void SendPulses(size_t count);
  PulseMessage MakePulse(uint64_t number) const;
  void DidReceivePulse(const PulseMessage& pulse, const Answer& answer);
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
  LifeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBPROXY_CONTROL_AGENT_H_
