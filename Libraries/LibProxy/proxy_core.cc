#include "LibProxy/proxy_core.h"

#include <algorithm>
#include <utility>

#include "LibCore/decision_log.h"
#include "LibMembership/home_set.h"

namespace kingcupmill {

namespace {

// How often agents that are no longer wanted are looked at.
constexpr Duration kSweepInterval = std::chrono::milliseconds(200);
constexpr Duration kForwardRetryDelay = std::chrono::milliseconds(20);

std::string JoinVms(std::span<const VmName> vms) {
  std::string text;
  for (const VmName& vm : vms)
    text += (text.empty() ? "" : " ") + vm.value;
  return text;
}

// Returns the answer to a request that is refused unsent. Refusing to look for
// the fate of an earlier request says nothing about that request.
ClientAnswer Refuse(const ClientRequest& request,
                    ClientError error,
                    std::string message) {
  ClientAnswer answer = NotRun(error, std::move(message));
  if (request.operation == ClientOperation::kGetOutcome)
    answer.outcome = Outcome::kUnknown;
  return answer;
}

}  // namespace

struct ProxyCore::ForwardFlow {
  ClientRequest request;
  Reply reply;
  TimePoint deadline;
  std::vector<VmName> candidates;
  // Whether an earlier forward of a write may have run.
  bool is_unsure = false;
};

ProxyCore::ProxyCore(Scheduler& scheduler,
                     TargetConnector& connector,
                     PeerNetwork& peers,
                     const DecisionLog& log,
                     uint64_t seed,
                     ProxyOptions options,
                     DidPromote did_promote)
    : scheduler(scheduler),
      connector(connector),
      peers(peers),
      log(log),
      random(seed),
      options(std::move(options)),
      did_promote(std::move(did_promote)) {}

ProxyCore::~ProxyCore() = default;

void ProxyCore::AdoptArrangement(Arrangement arrangement) {
  this->in_force = std::move(arrangement);
  this->Rebuild();
}

void ProxyCore::SetMembers(std::vector<Member> members) {
  if (members == this->members)
    return;
  this->members = std::move(members);
  this->Rebuild();
}

void ProxyCore::SetLeavingTargets(std::set<TargetName> leaving) {
  this->leaving_targets = std::move(leaving);
  for (auto& [group, agent] : this->agents)
    agent->monitor().SetLeaving(this->leaving_targets);
}

std::set<PlaceName> ProxyCore::PlacesOf(const Group& group) const {
  std::set<PlaceName> places;
  for (const TargetName& target : group.targets)
    places.insert(this->in_force.targets.at(target).place);
  return places;
}

GroupOptions ProxyCore::OptionsFor(const GroupName& name,
                                   const Group& group) const {
  GroupOptions group_options = this->options.group;
  group_options.group = name;
  group_options.members = group.targets;
  group_options.vm = this->options.vm;
  group_options.pool.client_name = this->options.vm.value;
  int64_t budget = INT64_MAX;
  for (const TargetName& target : group.targets)
    budget = std::min(budget, this->in_force.targets.at(target).connections);
  // The share depends only on settings and the arrangement, because proxies may
  // disagree for a while on how many homes there are. One share stays free for
  // a home that joins before another one has left.
  const size_t home_count =
      std::max(this->options.home_count, this->PlacesOf(group).size());
  const int64_t share = budget / static_cast<int64_t>(home_count + 1);
  const int64_t work = std::clamp<int64_t>(
      share - 1, 1,
      static_cast<int64_t>(this->options.maximum_work_connections));
  group_options.pool.work_connections = static_cast<size_t>(work);
  return group_options;
}

void ProxyCore::Rebuild() {
  this->homes.clear();
  std::map<GroupName, std::unique_ptr<GroupAgent>> kept;
  for (const auto& item : this->in_force.groups) {
    const GroupName& name = item.first;
    const Group& group = item.second;
    auto& group_homes = this->homes[name];
    group_homes = ChooseHomes(name, this->members, this->PlacesOf(group),
                              this->options.home_count);
    const auto self =
        std::find(group_homes.begin(), group_homes.end(), this->options.vm);
    if (self == group_homes.end())
      continue;
    auto& agent = kept[name];
    auto existing = this->agents.extract(name);
    if (!existing.empty() &&
        existing.mapped()->options().members == group.targets) {
      agent = std::move(existing.mapped());
    } else {
      if (!existing.empty())
        this->Retire(std::move(existing.mapped()));
      this->log.Write(DecisionLog::Frequency::kRare, "place_home", name.value,
                      this->options.vm.value, JoinVms(group_homes),
                      "chosen by rendezvous hashing");
      agent = std::make_unique<GroupAgent>(
          this->scheduler, this->connector, this->log, this->random,
          this->OptionsFor(name, group),
          [this, name](const RecordPrimary& record) {
            this->did_promote(name, record);
          });
    }
    agent->monitor().SetRank(static_cast<size_t>(self - group_homes.begin()));
    agent->monitor().SetLeaving(this->leaving_targets);
    std::set<TargetName> local;
    for (const TargetName& target : group.targets) {
      if (this->in_force.targets.at(target).place == this->options.place)
        local.insert(target);
    }
    agent->monitor().SetLocal(std::move(local));
  }
  for (auto& [name, agent] : this->agents) {
    if (agent)
      this->Retire(std::move(agent));
  }
  this->agents = std::move(kept);
}

void ProxyCore::Retire(std::unique_ptr<GroupAgent> agent) {
  this->log.Write(DecisionLog::Frequency::kRare, "retire_home",
                  agent->options().group.value, this->options.vm.value, "",
                  "no longer chosen");
  this->retired_agents.push_back(std::move(agent));
  if (this->retired_agents.size() == 1)
    this->ScheduleSweep();
}

void ProxyCore::ScheduleSweep() {
  this->scheduler.PostAfter(kSweepInterval,
                            this->life.Wrap([this] { this->SweepRetired(); }));
}

void ProxyCore::SweepRetired() {
  std::erase_if(this->retired_agents,
                [](const auto& agent) { return agent->is_idle(); });
  if (!this->retired_agents.empty())
    this->ScheduleSweep();
}

void ProxyCore::Handle(ClientRequest request, Reply reply) {
  const auto application =
      this->in_force.applications.find(request.application);
  if (application == this->in_force.applications.end()) {
    return reply(Refuse(request, ClientError::kNotGranted,
                        "the application is not declared"));
  }
  if (!this->in_force.groups.contains(request.group)) {
    return reply(Refuse(request, ClientError::kNoSuchGroup,
                        "the group is not declared"));
  }
  const auto& granted = application->second.groups;
  if (std::find(granted.begin(), granted.end(), request.group) ==
      granted.end()) {
    return reply(Refuse(request, ClientError::kNotGranted,
                        "the application may not use the group"));
  }
  if (this->draining && request.operation == ClientOperation::kBegin) {
    return reply(
        Refuse(request, ClientError::kDraining, "this proxy is shutting down"));
  }
  request.priority =
      application->second.priority_class == ApplicationClass::kUrgent
          ? Priority::kUrgent
          : Priority::kOrdinary;
  this->Route(std::move(request), this->Counted(std::move(reply)));
}

void ProxyCore::HandleForwarded(ClientRequest request, Reply reply) {
  GroupAgent* agent = this->FindAgentOf(request);
  if (!agent) {
    // The sender's view differs; it tries another home. Saying so is only true
    // because nothing has been sent to a target.
    return reply(NotRun(ClientError::kNotHome, "not a home of the group"));
  }
  agent->Handle(std::move(request), this->Counted(std::move(reply)));
}

GroupAgent* ProxyCore::FindAgentOf(const ClientRequest& request) {
  const bool is_bound = !request.transaction.value.empty();
  for (const auto& agent : this->retired_agents) {
    if (is_bound && agent->options().group == request.group &&
        agent->transactions().has(request.transaction)) {
      return agent.get();
    }
  }
  const auto agent = this->agents.find(request.group);
  return agent == this->agents.end() ? nullptr : agent->second.get();
}

Reply ProxyCore::Counted(Reply reply) {
  ++this->requests_in_flight;
  return [did_finish = this->life.Wrap([this] { --this->requests_in_flight; }),
          reply = std::move(reply)](ClientAnswer answer) {
    did_finish();
    reply(std::move(answer));
  };
}

void ProxyCore::Route(ClientRequest request, Reply reply) {
  const VmName transaction_home = VmOf(request.transaction);
  const bool is_bound = !request.transaction.value.empty();
  const bool is_local = is_bound ? transaction_home == this->options.vm
                                 : this->agents.contains(request.group);
  if (is_local) {
    GroupAgent* local = this->FindAgentOf(request);
    if (!local) {
      return reply(NotRun(ClientError::kNoSuchTransaction,
                          "the transaction has ended or never existed"));
    }
    return local->Handle(std::move(request), std::move(reply));
  }
  auto flow = std::make_shared<ForwardFlow>();
  flow->deadline = this->scheduler.Now() + request.time_left;
  // Not being able to ask says nothing about the request that is asked about.
  flow->is_unsure = request.operation == ClientOperation::kGetOutcome;
  if (is_bound)
    flow->candidates = {transaction_home};
  else
    flow->candidates = this->ForwardOrder(request.group);
  flow->request = std::move(request);
  flow->reply = std::move(reply);
  this->ForwardNext(flow);
}

std::vector<VmName> ProxyCore::ForwardOrder(const GroupName& group) {
  std::vector<VmName> order = this->HomesOf(group);
  std::erase(order, this->options.vm);
  // Rotation spreads the load over the homes.
  if (!order.empty()) {
    const auto shift = static_cast<ptrdiff_t>(this->random.Below(order.size()));
    std::rotate(order.begin(), order.begin() + shift, order.end());
  }
  std::map<VmName, PlaceName> places;
  for (const Member& member : this->members)
    places[member.vm] = member.place;
  const auto rank = [&](const VmName& vm) {
    const int unreachable = this->peers.is_reachable(vm) ? 0 : 2;
    const int remote = places[vm] == this->options.place ? 0 : 1;
    return unreachable + remote;
  };
  std::stable_sort(order.begin(), order.end(),
                   [&](const VmName& left, const VmName& right) {
                     return rank(left) < rank(right);
                   });
  return order;
}

void ProxyCore::ForwardNext(const FlowPointer& flow) {
  const TimePoint now = this->scheduler.Now();
  if (now >= flow->deadline) {
    ClientAnswer answer = NotRun(ClientError::kUnavailable,
                                 "no home of the group could be reached");
    if (flow->is_unsure) {
      answer.outcome = Outcome::kUnknown;
      answer.error = ClientError::kOutcomeUnknown;
    }
    answer.request_id = flow->request.request_id;
    return flow->reply(std::move(answer));
  }
  if (flow->candidates.empty()) {
    const bool is_bound = !flow->request.transaction.value.empty();
    if (is_bound && flow->request.operation != ClientOperation::kGetOutcome) {
      return flow->reply(NotRun(ClientError::kUnavailable,
                                "the proxy of the transaction cannot be "
                                "reached"));
    }
    this->scheduler.PostAfter(kForwardRetryDelay, this->life.Wrap([this, flow] {
      flow->candidates = this->ForwardOrder(flow->request.group);
      this->ForwardNext(flow);
    }));
    return;
  }
  const VmName to = flow->candidates.front();
  flow->candidates.erase(flow->candidates.begin());
  ClientRequest request = flow->request;
  request.time_left = flow->deadline - now;
  if (this->log.is_enabled(DecisionLog::Frequency::kPerRequest)) {
    this->log.Write(DecisionLog::Frequency::kPerRequest, "forward",
                    flow->request.group.value, to.value,
                    JoinVms(flow->candidates), "not a home of the group");
  }
  this->peers.Forward(to, std::move(request),
                      this->life.Wrap([this, flow](ForwardOutcome outcome) {
                        this->DidForward(flow, std::move(outcome));
                      }));
}

void ProxyCore::DidForward(const FlowPointer& flow, ForwardOutcome outcome) {
  if (auto* answer = std::get_if<ClientAnswer>(&outcome)) {
    if (answer->error != ClientError::kNotHome)
      return flow->reply(std::move(*answer));
    return this->ForwardNext(flow);
  }
  if (std::get<ForwardFailure>(outcome) == ForwardFailure::kNotSent)
    return this->ForwardNext(flow);
  switch (flow->request.operation) {
    case ClientOperation::kRead:
    case ClientOperation::kGetOutcome:
      return this->ForwardNext(flow);
    case ClientOperation::kWrite:
      flow->is_unsure = true;
      // The ledger makes a repeated write collide with its first attempt.
      if (flow->request.repeatability == Repeatability::kNotRepeatable)
        flow->request.operation = ClientOperation::kGetOutcome;
      return this->ForwardNext(flow);
    case ClientOperation::kBegin:
      // A transaction whose begin was lost cannot be committed by anyone.
      return flow->reply(
          NotRun(ClientError::kUnavailable, "the answer of the home was lost"));
    case ClientOperation::kRollback:
    case ClientOperation::kExecute: {
      ClientAnswer answer;
      answer.outcome = Outcome::kUnknown;
      answer.error = ClientError::kOutcomeUnknown;
      answer.message =
          "the answer was lost; the transaction has no effect unless it is "
          "committed";
      return flow->reply(std::move(answer));
    }
    case ClientOperation::kCommit:
      flow->is_unsure = true;
      flow->request.operation = ClientOperation::kGetOutcome;
      flow->candidates = this->ForwardOrder(flow->request.group);
      flow->request.transaction = TransactionId{};
      return this->ForwardNext(flow);
  }
}

void ProxyCore::StartDraining() {
  this->draining = true;
}

void ProxyCore::FinishDraining() {
  for (auto& [group, agent] : this->agents)
    agent->transactions().RollbackAll();
  for (auto& agent : this->retired_agents)
    agent->transactions().RollbackAll();
}

size_t ProxyCore::open_transactions() const {
  size_t count = 0;
  for (const auto& [group, agent] : this->agents)
    count += agent->transactions().open_count();
  for (const auto& agent : this->retired_agents)
    count += agent->transactions().open_count();
  return count;
}

uint64_t ProxyCore::promotion_count() const {
  uint64_t count = 0;
  for (const auto& [group, agent] : this->agents)
    count += agent->monitor().promotion_count();
  return count;
}

std::vector<VmName> ProxyCore::HomesOf(const GroupName& group) const {
  const auto found = this->homes.find(group);
  return found == this->homes.end() ? std::vector<VmName>{} : found->second;
}

const GroupAgent* ProxyCore::FindAgent(const GroupName& group) const {
  const auto found = this->agents.find(group);
  return found == this->agents.end() ? nullptr : found->second.get();
}

}  // namespace kingcupmill
