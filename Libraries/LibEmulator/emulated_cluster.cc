#include "LibEmulator/emulated_cluster.h"

#include <fmt/format.h>

#include <numeric>
#include <utility>

#include "LibCore/verify.h"
#include "LibEmulator/node_caller_port.h"

namespace kingcupmill {

namespace {

constexpr const char* kConfigurationTable = "configuration";
constexpr const char* kTargetsTable = "targets";
constexpr const char* kConfigurationKey = "newest";
constexpr Duration kRoleInterval = std::chrono::milliseconds(200);
// When the configuration is published if proxies start first.
constexpr Duration kConfigurationDelay = std::chrono::milliseconds(500);
constexpr Duration kRegisterInterval = std::chrono::milliseconds(20);
constexpr Duration kRegistrationDelay = std::chrono::milliseconds(70);
// The platform removes an entry after three missed heartbeats.
constexpr Duration kEntryRemovalDelay = std::chrono::milliseconds(3600);
// How long a leaving target keeps running.
constexpr Duration kLeavingTime = std::chrono::seconds(8);
constexpr Duration kRestartDelay = std::chrono::seconds(6);
constexpr Duration kUsualReplicationLag = std::chrono::milliseconds(20);

// Between the request to stop a proxy and its kill.
constexpr Duration kStopTimeout = std::chrono::seconds(6);

// A partition of the primary lasts longer than a lease, so that the primary is
// replaced meanwhile.
constexpr Duration kMinimumPartition = std::chrono::seconds(9);

const char* const kPlaces[] = {"place-a", "place-b", "place-c", "place-d",
                               "place-e"};
constexpr size_t kTargetPlaces = 3;

CustomerName CustomerNameOf(size_t customer) {
  return CustomerName{"customer-" + std::to_string(customer)};
}

std::string KeyOf(size_t customer) {
  return "key-" + std::to_string(customer);
}

size_t PlaceOfTarget(const TargetName& target) {
  return static_cast<size_t>(target.value.back()) % kTargetPlaces;
}

}  // namespace

// Decodes rows that hold indexes into the published values.
class EmulatedCluster::Codec final : public DirectoryCodec {
 public:
  std::string configuration_table() const override {
    return kConfigurationTable;
  }
  std::string targets_table() const override { return kTargetsTable; }

  Result<RouteTable> DecodeRoutes(const TableCache::Rows& rows) const override {
    const auto row = rows.find(kConfigurationKey);
    if (row == rows.end())
      return Fail(ErrorCode::kNotFound, "nothing is declared");
    return this->tables.at(std::stoul(row->second.value));
  }

  std::vector<TargetEntry> DecodeTargets(
      const TableCache::Rows& rows) const override {
    std::vector<TargetEntry> read;
    for (const auto& [key, row] : rows)
      read.push_back(this->entries.at(std::stoul(row.value)));
    return read;
  }

  std::string Add(RouteTable table) {
    this->tables.push_back(std::move(table));
    return std::to_string(this->tables.size() - 1);
  }
  std::string Add(TargetEntry entry) {
    this->entries.push_back(std::move(entry));
    return std::to_string(this->entries.size() - 1);
  }

 private:
  std::vector<RouteTable> tables;
  std::vector<TargetEntry> entries;
};

EmulatedCluster::EmulatedCluster(Options options)
    : options(options),
      random(options.seed),
      consistency_checker([this] { return this->scheduler.Now(); }),
      emulated_store(this->scheduler),
      codec(std::make_unique<Codec>()),
      balancer(this->scheduler, [this](size_t index) {
        EmulatedNode& node = *this->nodes[index];
        return node.gateway() && !node.is_frozen() &&
               node.gateway()->is_ready();
      }) {
  for (size_t index = 0; index < options.groups; ++index) {
    const GroupName name{"group-" + std::to_string(index)};
    this->groups.emplace(
        name, std::make_unique<EmulatedGroup>(
                  this->scheduler, this->consistency_checker, name,
                  options.seed * 31 + index, options.synchronous_replicas));
  }
  this->AddNodes(options.nodes);
}

EmulatedNode::Dependencies EmulatedCluster::NodeDependencies() {
  return EmulatedNode::Dependencies{
      this->scheduler,
      this->emulated_store,
      this->partitions,
      this->emulated_traffic,
      *this->codec,
      this->groups,
      [this](const std::string& address) -> EmulatedNode* {
        const auto node = this->node_by_address.find(address);
        return node == this->node_by_address.end() ? nullptr : node->second;
      },
      this->options.zone_traffic};
}

void EmulatedCluster::AddNodes(size_t count) {
  const size_t first = this->nodes.size();
  for (size_t index = first; index < first + count; ++index) {
    auto node = std::make_unique<EmulatedNode>(
        this->NodeDependencies(),
        fmt::format("10.0.{}.{}:7000", index / 250, index % 250 + 1),
        PlaceName{kPlaces[this->PlaceOf(index)]});
    this->node_by_address.emplace(node->address(), node.get());
    this->nodes.push_back(std::move(node));
  }
  if (!this->is_started)
    return;
  for (size_t index = first; index < first + count; ++index)
    this->nodes[index]->Start(this->random.Below(1U << 30U));
  this->balancer.Start(this->nodes.size());
}

EmulatedCluster::~EmulatedCluster() {
  this->callers.clear();
  this->nodes.clear();
}

EmulatedGroup& EmulatedCluster::group(size_t index) {
  return *this->groups.at(GroupName{"group-" + std::to_string(index)});
}

void EmulatedCluster::PublishConfiguration() {
  RouteTable table;
  table.revision = Revision{++this->revision};
  for (const auto& [name, group] : this->groups) {
    table.groups[name] =
        GroupDeclaration{EmulatedTarget::kMaximumSessions,
                         static_cast<int>(this->options.synchronous_replicas)};
    for (const auto kind : {RouteKind::kPrimary, RouteKind::kBoundedStale,
                            RouteKind::kReadYourWrites}) {
      CallerRoute route;
      route.kind = kind;
      route.group = name;
      route.maximum_staleness = std::chrono::milliseconds(1500);
      route.statement_timeout =
          std::chrono::milliseconds(800 + this->revision % 7);
      table.route_by_database[name.value + "/" +
                              std::to_string(static_cast<int>(kind))] = route;
    }
  }
  for (size_t customer = 0; customer < this->options.customers; ++customer) {
    std::vector<std::string> keys;
    if (!this->customers_without_key.contains(customer))
      keys.push_back(KeyOf(customer));
    KINGCUPMILL_VERIFY(
        table.customers.Add(CustomerNameOf(customer), {}, keys).has_value());
  }
  this->configuration = this->codec->Add(std::move(table));
  this->emulated_store.Put(kConfigurationTable, kConfigurationKey,
                           this->configuration);
}

void EmulatedCluster::PublishTarget(const EmulatedTarget& target,
                                    const GroupName& group,
                                    bool leaving) {
  TargetEntry entry;
  entry.name = target.name();
  entry.group = group;
  entry.address = target.name().value;
  entry.place = PlaceName{kPlaces[PlaceOfTarget(target.name())]};
  entry.state = leaving ? TargetState::kLeaving : TargetState::kReady;
  entry.slots = 2;
  entry.started_at_ms = this->starts[target.name()];
  entry.is_primary = target.is_primary();
  // A heartbeat without news does not change the entry.
  const bool has_entry =
      this->emulated_store.has(kTargetsTable, target.name().value);
  const auto known = this->published.find(target.name());
  if (has_entry && known != this->published.end() && known->second == entry)
    return;
  this->published.insert_or_assign(target.name(), entry);
  this->emulated_store.Put(kTargetsTable, target.name().value,
                           this->codec->Add(std::move(entry)));
}

void EmulatedCluster::PublishTargets() {
  Duration registers_after{};
  for (const auto& [name, group] : this->groups) {
    for (const auto& target : group->targets()) {
      if (this->options.starts_before_targets)
        registers_after += kRegistrationDelay;
      const bool is_registered =
          this->scheduler.Now() >= this->started_at + registers_after;
      if (target->is_running() && is_registered &&
          !this->expired.contains(target->name()))
        this->PublishTarget(*target, name, this->is_leaving[target->name()]);
    }
  }
}

void EmulatedCluster::PublishRoles() {
  this->PublishTargets();
  this->scheduler.PostAfter(
      this->options.starts_before_targets ? kRegisterInterval : kRoleInterval,
      [this] { this->PublishRoles(); });
}

void EmulatedCluster::Start() {
  this->started_at = this->scheduler.Now();
  if (this->options.starts_before_targets)
    this->scheduler.PostAfter(kConfigurationDelay,
                              [this] { this->PublishConfiguration(); });
  else
    this->PublishConfiguration();
  this->PublishRoles();
  for (size_t index = 0; index < this->nodes.size(); ++index)
    this->nodes[index]->Start(this->options.seed * 101 + index);
  this->is_started = true;
  this->balancer.Start(this->nodes.size());
  this->RunFor(std::chrono::seconds(4));
  for (size_t index = 0; index < this->options.callers; ++index) {
    const auto kind = static_cast<RouteKind>(index % 3);
    CallerRoute route;
    route.kind = kind;
    route.group =
        GroupName{"group-" + std::to_string(index / 3 % this->options.groups)};
    route.maximum_staleness = std::chrono::milliseconds(1500);
    const size_t customers = this->options.customers;
    const std::string key = customers == 0 ? "" : KeyOf(index % customers);
    this->callers.push_back(std::make_unique<EmulatedCaller>(
        this->scheduler, this->consistency_checker,
        [this, key](CallerChannel& channel, const std::string& database) {
          return this->OpenPort(channel, database, key);
        },
        "c" + std::to_string(index),
        route.group.value + "/" + std::to_string(static_cast<int>(kind)), route,
        EmulatedCaller::UnansweredClose::kViolation,
        this->options.seed * 977 + index));
    if (customers > 0)
      this->callers.back()->SetCustomer(CustomerNameOf(index % customers));
    this->callers.back()->Start();
  }
}

std::vector<size_t> EmulatedCluster::Candidates() const {
  if (this->options.has_balancer)
    return this->balancer.InRotation();
  std::vector<size_t> all(this->nodes.size());
  std::iota(all.begin(), all.end(), size_t{0});
  return all;
}

std::unique_ptr<CallerPort> EmulatedCluster::OpenPort(
    CallerChannel& channel,
    const std::string& database,
    const std::string& key) {
  const std::vector<size_t> candidates = this->Candidates();
  EmulatedNode& node =
      *this->nodes[candidates[this->random.Below(candidates.size())]];
  const auto number = node.OpenSession(channel, database, key);
  return number ? std::make_unique<NodeCallerPort>(node, *number) : nullptr;
}

EmulatedTarget& EmulatedCluster::RandomTarget() {
  EmulatedGroup& chosen = this->group(this->random.Below(this->groups.size()));
  return *chosen.targets()[this->random.Below(chosen.targets().size())];
}

GroupName EmulatedCluster::GroupOf(const TargetName& target) {
  return GroupName{target.value.substr(0, target.value.rfind('-'))};
}

void EmulatedCluster::KillNode(size_t index, Duration down) {
  EmulatedNode& node = *this->nodes[index];
  if (!node.gateway())
    return;
  node.Kill();
  this->scheduler.PostAfter(down, [this, index] {
    if (!this->nodes[index]->gateway())
      this->nodes[index]->Start(this->random.Below(1U << 30U));
  });
}

void EmulatedCluster::LosePowerOfAllNodes(Duration down) {
  for (const auto& node : this->nodes)
    node->LosePower();
  this->scheduler.PostAfter(down, [this] {
    for (const auto& node : this->nodes) {
      if (!node->gateway())
        node->Start(this->random.Below(1U << 30U));
    }
  });
}

void EmulatedCluster::StopNode(size_t index, Duration down) {
  this->nodes[index]->Stop(kStopTimeout, [this, index, down] {
    this->scheduler.PostAfter(down, [this, index] {
      if (!this->nodes[index]->gateway())
        this->nodes[index]->Start(this->random.Below(1U << 30U));
    });
  });
}

void EmulatedCluster::FreezeNode(size_t index, Duration duration) {
  this->nodes[index]->Freeze(duration);
}

void EmulatedCluster::FailStore(size_t index,
                                EmulatedStoreAccess::Fault fault,
                                Duration duration) {
  this->nodes[index]->SetStoreFault(fault);
  this->scheduler.PostAfter(duration, [this, index] {
    this->nodes[index]->SetStoreFault(EmulatedStoreAccess::Fault::kNone);
  });
}

void EmulatedCluster::PartitionNodeFromTarget(size_t node,
                                              const TargetName& target) {
  this->partitions.Block(this->fault, this->nodes[node]->address(),
                         target.value);
}

void EmulatedCluster::PartitionNodes(size_t one, size_t other) {
  this->partitions.Block(this->fault, this->nodes[one]->address(),
                         this->nodes[other]->address());
}

void EmulatedCluster::PartitionPrimary(size_t group_index, Duration duration) {
  EmulatedGroup& split = this->group(group_index);
  const TargetName primary = split.leader().name();
  split.PauseReplication();
  const NetworkPartitions::Fault own = ++this->fault;
  const size_t with_primary = 1 + this->random.Below(2);
  for (size_t index = 0; index < this->nodes.size(); ++index) {
    if (index >= with_primary) {
      this->PartitionNodeFromTarget(index, primary);
      continue;
    }
    this->FailStore(index, EmulatedStoreAccess::Fault::kSilent, duration);
    for (size_t other = with_primary; other < this->nodes.size(); ++other)
      this->PartitionNodes(index, other);
    for (const auto& target : split.targets()) {
      if (target->name() != primary)
        this->PartitionNodeFromTarget(index, target->name());
    }
  }
  this->scheduler.PostAfter(duration, [this, own, &split] {
    this->partitions.Heal(own);
    split.ResumeReplication();
  });
}

void EmulatedCluster::PartitionPlace(size_t place, Duration duration) {
  const NetworkPartitions::Fault own = ++this->fault;
  for (size_t index = 0; index < this->nodes.size(); ++index) {
    const bool is_inside = this->PlaceOf(index) == place;
    if (is_inside)
      this->FailStore(index, EmulatedStoreAccess::Fault::kSilent, duration);
    for (const auto& [name, group] : this->groups) {
      for (const auto& target : group->targets()) {
        if ((PlaceOfTarget(target->name()) == place) != is_inside)
          this->PartitionNodeFromTarget(index, target->name());
      }
    }
    for (size_t other = 0; is_inside && other < this->nodes.size(); ++other) {
      if (this->PlaceOf(other) != place)
        this->PartitionNodes(index, other);
    }
  }
  this->scheduler.PostAfter(duration,
                            [this, own] { this->partitions.Heal(own); });
}

void EmulatedCluster::CrashTarget(const TargetName& name, Duration down) {
  EmulatedTarget& target = *this->groups.at(this->GroupOf(name))->Find(name);
  if (!target.is_running())
    return;
  target.Crash();
  ++this->starts[name];
  this->scheduler.PostAfter(kEntryRemovalDelay, [this, &target, name] {
    if (!target.is_running())
      this->emulated_store.Remove(kTargetsTable, name.value);
  });
  this->scheduler.PostAfter(down, [&target] { target.Start(); });
}

void EmulatedCluster::ReleaseTarget(const TargetName& name) {
  this->is_leaving[name] = true;
  this->consistency_checker.DidStartLeaving(name);
  this->scheduler.PostAfter(kLeavingTime, [this, name] {
    this->CrashTarget(name, kRestartDelay);
    this->is_leaving[name] = false;
    this->consistency_checker.DidStopLeaving(name);
  });
}

void EmulatedCluster::ExpireTargetEntry(const TargetName& target,
                                        Duration duration) {
  this->expired.insert(target);
  this->emulated_store.Remove(kTargetsTable, target.value);
  this->scheduler.PostAfter(duration,
                            [this, target] { this->expired.erase(target); });
}

void EmulatedCluster::SlowReplication(const TargetName& target,
                                      Duration lag,
                                      Duration duration) {
  EmulatedGroup& group = *this->groups.at(this->GroupOf(target));
  group.SetLag(target, lag);
  this->scheduler.PostAfter(duration, [&group, target] {
    group.SetLag(target, kUsualReplicationLag);
  });
}

void EmulatedCluster::FailStatus(const TargetName& name,
                                 EmulatedStatusFault fault,
                                 Duration duration) {
  EmulatedTarget& target = *this->groups.at(this->GroupOf(name))->Find(name);
  target.SetStatusFault(fault);
  this->scheduler.PostAfter(duration, [&target] {
    target.SetStatusFault(EmulatedStatusFault::kNone);
  });
}

void EmulatedCluster::ChangeConfiguration() {
  this->PublishConfiguration();
}

void EmulatedCluster::RemoveKey(size_t customer) {
  this->customers_without_key.insert(customer);
  this->PublishConfiguration();
}

void EmulatedCluster::AddKey(size_t customer) {
  this->customers_without_key.erase(customer);
  this->PublishConfiguration();
}

size_t EmulatedCluster::NodesAccepting(size_t customer) {
  size_t count = 0;
  for (const auto& node : this->nodes) {
    if (node->gateway() && node->gateway()->session_authorizer().Identify(
                               "group-0/0", KeyOf(customer)))
      ++count;
  }
  return count;
}

size_t EmulatedCluster::SessionsOf(size_t customer) const {
  size_t count = 0;
  for (size_t index = customer; index < this->callers.size();
       index += this->options.customers)
    count += this->callers[index]->has_session() ? 1 : 0;
  return count;
}

void EmulatedCluster::ChangeConfigurationAfter(Duration delay) {
  this->scheduler.PostAfter(delay, [this] { this->PublishConfiguration(); });
}

void EmulatedCluster::SilenceConnections(size_t index) {
  this->nodes[index]->SilenceConnections();
}

void EmulatedCluster::SilenceAllConnections() {
  for (const auto& node : this->nodes)
    node->SilenceConnections();
}

void EmulatedCluster::SilenceConfigurationPolls(size_t index) {
  this->nodes[index]->SilencePolls(kConfigurationTable);
}

void EmulatedCluster::HideConfiguration(size_t index) {
  this->nodes[index]->SetSilentTable(kConfigurationTable);
}

size_t EmulatedCluster::OutdatedNodes() {
  return static_cast<size_t>(
      std::count_if(this->nodes.begin(), this->nodes.end(), [this](auto& node) {
        Gateway* gateway = node->gateway();
        return gateway && gateway->revision() < this->published_revision();
      }));
}

void EmulatedCluster::RestoreStore(Duration lost, Duration away) {
  this->scheduler.PostAfter(away, [this, lost, away] {
    this->emulated_store.Restore(lost + away);
    this->published.clear();
    this->PublishTargets();
    this->emulated_store.Put(kConfigurationTable, kConfigurationKey,
                             this->configuration);
  });
  // The silence ends after the restore, since it was posted later.
  for (size_t index = 0; index < this->nodes.size(); ++index)
    this->FailStore(index, EmulatedStoreAccess::Fault::kSilent, away);
}

void EmulatedCluster::HealAll() {
  this->partitions.HealAll();
  for (const auto& [name, group] : this->groups) {
    group->SetLag(kUsualReplicationLag);
  }
  for (const auto& node : this->nodes)
    node->SetStoreFault(EmulatedStoreAccess::Fault::kNone);
}

void EmulatedCluster::InjectFault() {
  const NetworkPartitions::Fault own = ++this->fault;
  const size_t node = this->random.Below(this->nodes.size());
  const Duration duration =
      std::chrono::milliseconds(500 + this->random.Below(7000));
  EmulatedGroup& chosen = this->group(this->random.Below(this->groups.size()));
  switch (this->random.Below(kFaultKinds)) {
    case 0:
      return this->KillNode(node, duration / 2);
    case 1:
      return this->FreezeNode(node, duration);
    case 2: {
      const auto fault =
          static_cast<EmulatedStoreAccess::Fault>(1 + this->random.Below(4));
      return this->FailStore(node, fault, duration);
    }
    case 3:
      for (size_t index = 0; index < this->nodes.size(); ++index)
        this->FailStore(index, EmulatedStoreAccess::Fault::kSilent, duration);
      return;
    case 4:
      this->PartitionNodeFromTarget(node, chosen.leader().name());
      break;
    case 5:
      for (size_t index = 0; index < this->nodes.size(); index += 2)
        this->PartitionNodeFromTarget(index, chosen.leader().name());
      break;
    case 6:
      this->PartitionNodes(node, this->random.Below(this->nodes.size()));
      break;
    case 7:
      return this->CrashTarget(chosen.leader().name(), duration);
    case 8:
      return this->ReleaseTarget(chosen.leader().name());
    case 9:
      chosen.SetLag(duration / 3);
      break;
    case 10:
      chosen.PauseReplication();
      this->scheduler.PostAfter(duration,
                                [&chosen] { chosen.ResumeReplication(); });
      return;
    case 11:
    case 12:
      this->PartitionPrimary(this->random.Below(this->groups.size()),
                             duration + kMinimumPartition);
      return;
    case 13:
      return this->StopNode(node, duration / 4);
    case 14:
      this->StopNode(node, duration / 4);
      return this->StopNode(this->random.Below(this->nodes.size()),
                            duration / 4);
    default:
      return;
  }
  this->scheduler.PostAfter(duration, [this, own, &chosen] {
    this->partitions.Heal(own);
    chosen.SetLag(kUsualReplicationLag);
  });
}

EmulatedCaller::Counts EmulatedCluster::TotalCounts() const {
  EmulatedCaller::Counts total;
  for (const auto& caller : this->callers) {
    total.sent += caller->counts().sent;
    total.succeeded += caller->counts().succeeded;
    total.refused += caller->counts().refused;
    total.in_doubt += caller->counts().in_doubt;
    total.writes_succeeded += caller->counts().writes_succeeded;
  }
  return total;
}

}  // namespace kingcupmill
