#ifndef LIBPROXY_PROXY_CORE_H_
#define LIBPROXY_PROXY_CORE_H_

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "LibArrangement/arrangement.h"
#include "LibCore/lifetime_guard.h"
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

// The request handling of one proxy, independent of sockets. It holds the
// arrangement in force, executes requests for the groups that this proxy is a
// home of, and forwards all other requests to a home of their group.
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

  // Replaces the arrangement in force and starts or retires group agents to
  // match it.
  void AdoptArrangement(Arrangement arrangement);
  // Sets the known entry VMs, including this one; the homes of each group are
  // chosen from them.
  void SetMembers(std::vector<Member> members);
  // Sets the targets that the platform is about to remove.
  void SetLeavingTargets(std::set<TargetName> leaving);

  // Handles a request from a caller. `reply` is called exactly once.
  void Handle(ClientRequest request, Reply reply);
  // Handles a request that another proxy forwarded. `reply` is called exactly
  // once, with kNotHome if this proxy is not a home of the group.
  void HandleForwarded(ClientRequest request, Reply reply);

  // Refuses to begin transactions for callers from now on; open ones may
  // finish.
  void StartDraining();
  // Rolls back all transactions that are still open.
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
  struct PendingForward;
  using PendingForwardPointer = std::shared_ptr<PendingForward>;

  void RebuildAgents();
  // Removes an agent from use because its group has new targets or other homes.
  // The agent is kept until its in-flight requests and transactions have ended.
  void Retire(std::unique_ptr<GroupAgent> agent);
  void ScheduleSweep();
  void SweepRetired();
  // Returns the agent to handle a request: the retired agent that holds its
  // transaction, or else the current agent of its group. Null if there is none.
  GroupAgent* FindAgentOf(const ClientRequest& request);
  GroupOptions OptionsFor(const GroupName& name, const Group& group) const;
  std::set<PlaceName> PlacesOf(const Group& group) const;

  void Route(ClientRequest request, Reply reply);
  void ForwardNext(const PendingForwardPointer& pending);
  void DidForward(const PendingForwardPointer& pending, ForwardOutcome outcome);
  // Returns the other homes of `group` in the order in which to try them:
  // reachable ones first, then those in this proxy's place, in random rotation.
  std::vector<VmName> HomesToTry(const GroupName& group);
  // Counts a request as in flight until the returned reply is called.
  Reply CountInFlight(Reply reply);

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
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBPROXY_PROXY_CORE_H_
