#include "LibLab/virtual_world.h"

#include <utility>

#include "LibArrangement/arrangement_parser.h"
#include "LibConfiguration/publisher.h"
#include "LibCore/verify.h"

namespace kingcupmill {

namespace {

constexpr const char* kPlaceNames[] = {"accra-a", "accra-b", "tema-c"};
constexpr const char* kTargetSuffixes[] = {"-a", "-b", "-c"};

// The store interface of Publisher on top of PlatformState, without a network.
class DirectStore {
 public:
  explicit DirectStore(PlatformState& state) : state(state) {}

  Result<PlatformRow> ReadRow(std::string_view key) {
    return this->state.ReadRow(key);
  }
  Result<WriteOutcome> WriteRow(std::string_view key,
                                std::string_view value,
                                uint64_t expected) {
    return this->state.WriteRow(key, value, expected);
  }
  Result<std::string> ReadBlob(std::string_view digest) {
    auto text = this->state.ReadBlob(digest);
    if (!text)
      return Fail(ErrorCode::kNotFound, "no such blob");
    return *std::move(text);
  }
  Result<void> WriteBlob(std::string_view digest, std::string_view text) {
    this->state.WriteBlob(digest, text);
    return {};
  }

 private:
  PlatformState& state;
};

}  // namespace

VirtualWorld::VirtualWorld(Options options)
    : options(options),
      random_source(options.seed),
      standin_network(
          std::make_unique<StandinNetwork>(this->virtual_scheduler,
                                           StandinNetwork::Latencies{})) {
  this->DeclareArrangement();
  this->StartTargets();
  this->Publish(this->declared);
  for (size_t index = 0; index < this->options.proxy_count; ++index)
    this->StartProxy(this->place_names[index % this->place_names.size()]);
}

VirtualWorld::~VirtualWorld() = default;

void VirtualWorld::DeclareArrangement() {
  for (const char* name : kPlaceNames) {
    this->place_names.push_back(PlaceName{name});
    this->declared.places[PlaceName{name}] = Place{"gh-south"};
  }
  Application application;
  for (size_t index = 1; index <= this->options.group_count; ++index) {
    const GroupName group_name{"restock-" + std::to_string(index)};
    Group group;
    group.service = "restock-db";
    for (size_t member = 0; member < this->place_names.size(); ++member) {
      const TargetName target_name{group_name.value + kTargetSuffixes[member]};
      Target target;
      target.place = this->place_names[member];
      target.address =
          "127.0.0.1:" + std::to_string(7000 + 10 * index + member);
      this->declared.targets[target_name] = target;
      group.targets.push_back(target_name);
    }
    this->declared.groups[group_name] = group;
    application.groups.push_back(group_name);
  }
  this->declared.applications[ApplicationName{"driver-lists"}] = application;
  application.priority_class = ApplicationClass::kUrgent;
  this->declared.applications[ApplicationName{"shop-orders"}] = application;
}

void VirtualWorld::StartTargets() {
  for (const auto& [name, declared] : this->declared.targets) {
    StandinTarget::Options target_options;
    target_options.member.name = name;
    target_options.member.replica_lag = this->options.replica_lag;
    this->standin_network->SetPlace(name.value, declared.place);
    this->targets.emplace(name, std::make_unique<StandinTarget>(
                                    this->virtual_scheduler,
                                    *this->standin_network, target_options));
  }
  for (const auto& [group_name, group] : this->declared.groups) {
    for (const TargetName& name : group.targets) {
      std::vector<ReplicaMember*> peers;
      for (const TargetName& other : group.targets) {
        if (other != name)
          peers.push_back(&this->targets.at(other)->member());
      }
      this->targets.at(name)->member().SetPeers(std::move(peers));
    }
  }
}

StandinTarget& VirtualWorld::target(const TargetName& name) {
  return *this->targets.at(name);
}

std::vector<TargetName> VirtualWorld::TargetNames() const {
  std::vector<TargetName> names;
  for (const auto& [name, target] : this->targets)
    names.push_back(name);
  return names;
}

VirtualWorld::Proxy& VirtualWorld::StartProxy(const PlaceName& place) {
  const VmName vm{"vm-" + std::to_string(this->next_vm++)};
  this->standin_network->SetPlace(vm.value, place);
  VmRecord record;
  record.name = vm.value;
  record.place = place;
  this->platform_state.SetVm(record);

  auto proxy = std::make_unique<Proxy>(
      Proxy{vm, place, DecisionLog(vm.value), {}, {}, {}, {}, {}});
  proxy->connector = std::make_unique<VirtualTargetConnector>(
      this->virtual_scheduler, *this->standin_network, this->targets,
      this->random_source, this->target_answer_faults, vm);
  proxy->peers = std::make_unique<VirtualPeerNetwork>(
      this->virtual_scheduler, *this->standin_network, this->directory, vm);
  proxy->platform = std::make_unique<VirtualPlatformLink>(
      this->virtual_scheduler, *this->standin_network, this->platform_state,
      this->faults, vm);
  ProxyOptions proxy_options;
  proxy_options.vm = vm;
  proxy_options.place = place;
  ControlAgent::Options control_options;
  control_options.vm = vm;
  if (this->options.disabled_safeguard) {
    proxy_options.group.Disable(*this->options.disabled_safeguard);
    if (*this->options.disabled_safeguard == Safeguard::kRevisionCheck)
      control_options.downgrade_policy =
          RevisionTracker::DowngradePolicy::kAllowed;
  }
  Proxy* raw = proxy.get();
  proxy->core = std::make_unique<ProxyCore>(
      this->virtual_scheduler, *proxy->connector, *proxy->peers, proxy->log,
      this->random_source.Below(UINT64_MAX), proxy_options,
      [raw](const GroupName& group, const RecordPrimary& promoted) {
        raw->control->RecordPromotion(group, promoted);
      });
  proxy->control = std::make_unique<ControlAgent>(
      this->virtual_scheduler, *proxy->platform, *proxy->peers, *proxy->core,
      proxy->log, this->random_source.Below(UINT64_MAX), control_options,
      [](const Arrangement&) {});
  this->directory[vm] = VirtualPeerNetwork::Endpoint{
      [raw](ClientRequest request, Reply reply) {
        raw->core->HandleForwarded(std::move(request), std::move(reply));
      },
      [raw](const PeerMessage& message,
            const ControlAgent::SendAnswer& answer) {
        raw->control->DidReceive(message, answer);
      }};
  this->live_proxies.push_back(std::move(proxy));
  return *raw;
}

void VirtualWorld::KillProxy(size_t index) {
  KINGCUPMILL_VERIFY(index < this->live_proxies.size());
  const VmName vm = this->live_proxies[index]->vm;
  this->directory.erase(vm);
  this->platform_state.RemoveVm(vm.value);
  this->live_proxies.erase(this->live_proxies.begin() +
                           static_cast<ptrdiff_t>(index));
}

void VirtualWorld::Publish(const Arrangement& arrangement) {
  DirectStore store(this->platform_state);
  Publisher<DirectStore> publisher(store);
  auto published = Capture([&]() -> Result<PublishOutcome> {
    KINGCUPMILL_TRY(row, store.ReadRow(kHeadKey));
    KINGCUPMILL_TRY(head, DecodeChangeRecord(row.value));
    return publisher.Publish(WriteArrangement(arrangement), head.revision,
                             "change-" + std::to_string(this->next_change++),
                             "world");
  });
  KINGCUPMILL_VERIFY(std::holds_alternative<PublishOutcome>(published));
  this->declared = arrangement;
}

void VirtualWorld::SetTargetState(const TargetName& name, VmState state) {
  VmRecord record;
  record.name = name.value;
  record.role = VmRole::kTarget;
  record.state = state;
  this->platform_state.SetVm(record);
}

TargetName VirtualWorld::PrimaryOf(const GroupName& group) {
  TargetName primary;
  Term term;
  for (const TargetName& name : this->declared.groups.at(group).targets) {
    ReplicaMember& member = this->target(name).member();
    const TargetStatus status = member.status();
    if (member.is_running() && status.role == TargetRole::kPrimary &&
        status.term >= term) {
      primary = name;
      term = status.term;
    }
  }
  return primary;
}

}  // namespace kingcupmill
