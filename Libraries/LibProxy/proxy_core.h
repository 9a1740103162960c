#ifndef LIBPROXY_PROXY_CORE_H_
#define LIBPROXY_PROXY_CORE_H_

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "LibArrangement/arrangement.h"
#include "LibCore/life_guard.h"
#include "LibCore/names.h"
#include "LibCore/random_source.h"
#include "LibCore/scheduler.h"
#include "LibMembership/member.h"
#include "LibProxy/peer_network.h"
#include "LibProxy/proxy_options.h"
#include "LibRequests/group_agent.h"
#include "LibRequests/reply.h"

namespace kingcupmill {

class DecisionLog;

// One proxy without its sockets: holds the arrangement in force, serves the
// groups it is a home of, and forwards the other requests to their homes.
class ProxyCore {
 public:
  using DidPromote =
      std::function<void(const GroupName&, const RecordPrimary&)>;

  ProxyCore(Scheduler& scheduler,
            TargetConnector& connector,
            PeerNetwork& peers,
            const DecisionLog& log,
            uint64_t seed,
            ProxyOptions options,
            DidPromote did_promote);
  ~ProxyCore();
  ProxyCore(const ProxyCore&) = delete;
  ProxyCore& operator=(const ProxyCore&) = delete;

  // Puts an arrangement in force.
  void AdoptArrangement(Arrangement arrangement);
  // Takes the current view of the entry VMs, this one included.
  void SetMembers(std::vector<Member> members);
  // Takes the targets that are leaving.
  void SetLeavingTargets(std::set<TargetName> leaving);

  // Handles a request of a caller. Every reply is given exactly once.
  void Handle(ClientRequest request, Reply reply);
  // Handles a request that another proxy forwarded.
  void HandleForwarded(ClientRequest request, Reply reply);

  // Refuses new transactions; open ones may finish.
  void StartDraining();
  // Rolls back what is still open.
  void FinishDraining();
  bool is_draining() const { return this->draining; }

  size_t open_requests() const { return this->requests_in_flight; }
  size_t open_transactions() const;
  uint64_t promotion_count() const;

  const Arrangement& arrangement() const { return this->in_force; }
  std::vector<VmName> HomesOf(const GroupName& group) const;
  // Returns the agent of a group that this proxy is a home of, or null.
  const GroupAgent* FindAgent(const GroupName& group) const;

 private:
  struct ForwardFlow;
  using FlowPointer = std::shared_ptr<ForwardFlow>;

  void Rebuild();
  // Lets an agent that is no longer wanted finish what it has in flight.
  void Retire(std::unique_ptr<GroupAgent> agent);
  void ScheduleSweep();
  void SweepRetired();
  // Returns the agent that holds a transaction of this proxy, or null.
  GroupAgent* FindAgentOf(const ClientRequest& request);
  GroupOptions OptionsFor(const GroupName& name, const Group& group) const;
  std::set<PlaceName> PlacesOf(const Group& group) const;

  void Route(ClientRequest request, Reply reply);
  void ForwardNext(const FlowPointer& flow);
  void DidForward(const FlowPointer& flow, ForwardOutcome outcome);
  // Homes in the order of preference for a new forward.
  std::vector<VmName> ForwardOrder(const GroupName& group);
  Reply Counted(Reply reply);

  Scheduler& scheduler;
  TargetConnector& connector;
  PeerNetwork& peers;
  const DecisionLog& log;
  SeededRandom random;
  ProxyOptions options;
  DidPromote did_promote;
  Arrangement in_force;
  std::vector<Member> members;
  std::set<TargetName> leaving_targets;
  std::map<GroupName, std::unique_ptr<GroupAgent>> agents;
  std::vector<std::unique_ptr<GroupAgent>> retired_agents;
  std::map<GroupName, std::vector<VmName>> homes;
  size_t requests_in_flight = 0;
  bool draining = false;
  LifeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBPROXY_PROXY_CORE_H_
