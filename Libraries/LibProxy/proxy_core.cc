#include "LibProxy/proxy_core.h"

#include <algorithm>
#include <utility>

#include "LibCore/decision_log.h"
#include "LibMembership/home_set.h"

namespace kingcupmill {

namespace {

// How often retired agents are checked for remaining requests.
constexpr Duration kSweepInterval = std::chrono::milliseconds(200);
constexpr Duration kForwardRetryDelay = std::chrono::milliseconds(20);

std::string JoinVms(std::span<const VmName> vms) {
  std::string text;
  for (const VmName& vm : vms)
    text += (text.empty() ? "" : " ") + vm.value;
  return text;
}

// Returns the answer to a request that is refused before it is sent to a
// target. If the request asks for the outcome of an earlier one, the answer is
// kUnknown, because the refusal says nothing about the earlier request.
ClientAnswer Refuse(const ClientRequest& request,
                    ClientError error,
                    std::string message) {
  ClientAnswer answer = NotRun(error, std::move(message));
  if (request.operation == ClientOperation::kGetOutcome)
    answer.outcome = Outcome::kUnknown;
  return answer;
}

}  // namespace

struct ProxyCore::PendingForward {
  ClientRequest request;
  Reply reply;
  TimePoint deadline;
  std::vector<VmName> candidates;
  // Whether running out of time must be answered with kUnknown instead of
  // kNotRun, such as when an earlier forward of a write may have run.
  bool is_outcome_unknown = false;
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
  this->RebuildAgents();
}

void ProxyCore::SetMembers(std::vector<Member> members) {
  if (members == this->members)
    return;
  this->members = std::move(members);
  this->RebuildAgents();
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
  // The number of homes is taken from the settings and the arrangement, not
  // from the current members, because proxies may temporarily disagree on
  // these. One share stays unused for a home that joins before another one has
  // left.
  const size_t home_count =
      std::max(this->options.home_count, this->PlacesOf(group).size());
  const int64_t share = budget / static_cast<int64_t>(home_count + 1);
  const int64_t work = std::clamp<int64_t>(
      share - 1, 1,
      static_cast<int64_t>(this->options.maximum_work_connections));
  group_options.pool.work_connections = static_cast<size_t>(work);
  return group_options;
}

void ProxyCore::RebuildAgents() {
  this->homes.clear();
  std::map<GroupName, std::unique_ptr<GroupAgent>> current_agents;
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
    auto& agent = current_agents[name];
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
  this->agents = std::move(current_agents);
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
  this->Route(std::move(request), this->CountInFlight(std::move(reply)));
}

void ProxyCore::HandleForwarded(ClientRequest request, Reply reply) {
  GroupAgent* agent = this->FindAgentOf(request);
  if (!agent) {
    // The sender has a different view of the members and will try another home.
    // kNotRun is correct only because nothing has been sent to a target.
    return reply(NotRun(ClientError::kNotHome, "not a home of the group"));
  }
  agent->Handle(std::move(request), this->CountInFlight(std::move(reply)));
}

GroupAgent* ProxyCore::FindAgentOf(const ClientRequest& request) {
  const bool is_in_transaction = !request.transaction.value.empty();
  for (const auto& agent : this->retired_agents) {
    if (is_in_transaction && agent->options().group == request.group &&
        agent->transactions().has(request.transaction)) {
      return agent.get();
    }
  }
  const auto agent = this->agents.find(request.group);
  return agent == this->agents.end() ? nullptr : agent->second.get();
}

Reply ProxyCore::CountInFlight(Reply reply) {
  ++this->requests_in_flight;
  return [did_finish = this->life.Wrap([this] { --this->requests_in_flight; }),
          reply = std::move(reply)](ClientAnswer answer) {
    did_finish();
    reply(std::move(answer));
  };
}

void ProxyCore::Route(ClientRequest request, Reply reply) {
  const VmName transaction_vm = VmOf(request.transaction);
  const bool is_in_transaction = !request.transaction.value.empty();
  const bool is_local = is_in_transaction
                            ? transaction_vm == this->options.vm
                            : this->agents.contains(request.group);
  if (is_local) {
    GroupAgent* local = this->FindAgentOf(request);
    if (!local) {
      return reply(NotRun(ClientError::kNoSuchTransaction,
                          "the transaction has ended or never existed"));
    }
    return local->Handle(std::move(request), std::move(reply));
  }
  auto pending = std::make_shared<PendingForward>();
  pending->deadline = this->scheduler.Now() + request.time_left;
  // Failing to query the outcome says nothing about the earlier request.
  pending->is_outcome_unknown =
      request.operation == ClientOperation::kGetOutcome;
  if (is_in_transaction)
    pending->candidates = {transaction_vm};
  else
    pending->candidates = this->HomesToTry(request.group);
  pending->request = std::move(request);
  pending->reply = std::move(reply);
  this->ForwardNext(pending);
}

std::vector<VmName> ProxyCore::HomesToTry(const GroupName& group) {
  std::vector<VmName> order = this->HomesOf(group);
  std::erase(order, this->options.vm);
  // A random rotation spreads the load over the homes.
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

void ProxyCore::ForwardNext(const PendingForwardPointer& pending) {
  const TimePoint now = this->scheduler.Now();
  if (now >= pending->deadline) {
    ClientAnswer answer = NotRun(ClientError::kUnavailable,
                                 "no home of the group could be reached");
    if (pending->is_outcome_unknown) {
      answer.outcome = Outcome::kUnknown;
      answer.error = ClientError::kOutcomeUnknown;
    }
    answer.request_id = pending->request.request_id;
    return pending->reply(std::move(answer));
  }
  if (pending->candidates.empty()) {
    const bool is_in_transaction = !pending->request.transaction.value.empty();
    if (is_in_transaction &&
        pending->request.operation != ClientOperation::kGetOutcome) {
      return pending->reply(NotRun(ClientError::kUnavailable,
                                   "the proxy of the transaction cannot be "
                                   "reached"));
    }
    this->scheduler.PostAfter(
        kForwardRetryDelay, this->life.Wrap([this, pending] {
          pending->candidates = this->HomesToTry(pending->request.group);
          this->ForwardNext(pending);
        }));
    return;
  }
  const VmName to = pending->candidates.front();
  pending->candidates.erase(pending->candidates.begin());
  ClientRequest request = pending->request;
  request.time_left = pending->deadline - now;
  if (this->log.is_enabled(DecisionLog::Frequency::kPerRequest)) {
    this->log.Write(DecisionLog::Frequency::kPerRequest, "forward",
                    pending->request.group.value, to.value,
                    JoinVms(pending->candidates), "not a home of the group");
  }
  this->peers.Forward(to, std::move(request),
                      this->life.Wrap([this, pending](ForwardOutcome outcome) {
                        this->DidForward(pending, std::move(outcome));
                      }));
}

void ProxyCore::DidForward(const PendingForwardPointer& pending,
                           ForwardOutcome outcome) {
  if (auto* answer = std::get_if<ClientAnswer>(&outcome)) {
    if (answer->error != ClientError::kNotHome)
      return pending->reply(std::move(*answer));
    return this->ForwardNext(pending);
  }
  if (std::get<ForwardFailure>(outcome) == ForwardFailure::kNotSent)
    return this->ForwardNext(pending);
  switch (pending->request.operation) {
    case ClientOperation::kRead:
    case ClientOperation::kGetOutcome:
      return this->ForwardNext(pending);
    case ClientOperation::kWrite:
      pending->is_outcome_unknown = true;
      // The request ledger detects a repeated write whose first attempt ran, so
      // a repeatable write is sent again; otherwise only its outcome is
      // queried.
      if (pending->request.repeatability == Repeatability::kNotRepeatable)
        pending->request.operation = ClientOperation::kGetOutcome;
      return this->ForwardNext(pending);
    case ClientOperation::kBegin:
      // If the answer to a begin is lost, nobody knows the transaction's id, so
      // it can't be committed.
      return pending->reply(
          NotRun(ClientError::kUnavailable, "the answer of the home was lost"));
    case ClientOperation::kRollback:
    case ClientOperation::kExecute: {
      ClientAnswer answer;
      answer.outcome = Outcome::kUnknown;
      answer.error = ClientError::kOutcomeUnknown;
      answer.message =
          "the answer was lost; the transaction has no effect unless it is "
          "committed";
      return pending->reply(std::move(answer));
    }
    case ClientOperation::kCommit:
      pending->is_outcome_unknown = true;
      pending->request.operation = ClientOperation::kGetOutcome;
      pending->candidates = this->HomesToTry(pending->request.group);
      pending->request.transaction = TransactionId{};
      return this->ForwardNext(pending);
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
