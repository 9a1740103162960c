#include "LibStandins/standin_host.h"

#include <future>
#include <utility>

#include "LibCore/verify.h"

namespace kingcupmill {

Result<std::unique_ptr<StandinHost>> StandinHost::Create(
    const Arrangement& arrangement,
    Options options) {
  std::unique_ptr<StandinHost> host(new StandinHost(std::move(options)));
  KINGCUPMILL_RETURN_IF_ERROR(host->Start(arrangement));
  return host;
}

StandinHost::StandinHost(Options options)
    : options(std::move(options)),
      standin_network(this->loop, this->options.latencies) {}

StandinHost::~StandinHost() {
  // The HTTP server posts requests to the loop, so it must be destroyed before
  // the loop stops.
  this->platform_server.reset();
  this->loop.Stop();
}

Result<void> StandinHost::Start(const Arrangement& arrangement) {
  for (const auto& [name, target] : arrangement.targets) {
    StandinTarget::Options target_options;
    target_options.member.name = name;
    target_options.member.replica_lag = this->options.replica_lag;
    target_options.slots = static_cast<size_t>(target.slots);
    target_options.connection_cap = static_cast<size_t>(target.connections);
    target_options.connect_time = this->options.connect_time;
    target_options.service_time = this->options.service_time;
    auto standin = std::make_unique<StandinTarget>(
        this->loop, this->standin_network, target_options);
    this->standin_network.SetPlace(name.value, target.place);
    auto listener = std::make_unique<TargetListener>(
        this->loop, this->standin_network, *standin);
    KINGCUPMILL_RETURN_IF_ERROR(listener->Listen(target.address));
    this->targets.emplace(name, std::move(standin));
    this->listeners.push_back(std::move(listener));
  }
  for (const auto& [group_name, group] : arrangement.groups) {
    for (const TargetName& name : group.targets) {
      std::vector<ReplicaMember*> peers;
      for (const TargetName& other : group.targets) {
        if (other != name)
          peers.push_back(&this->targets.at(other)->member());
      }
      this->targets.at(name)->member().SetPeers(std::move(peers));
    }
  }
  KINGCUPMILL_TRY_ASSIGN(
      this->platform_server,
      PlatformServer::Create(this->loop, this->options.platform_address));
  this->loop.Start();
  return {};
}

void StandinHost::RunAndWait(const std::function<void()>& task) {
  std::promise<void> finished;
  this->loop.Post([&] {
    task();
    finished.set_value();
  });
  finished.get_future().wait();
}

StandinTarget& StandinHost::target(const TargetName& name) {
  const auto found = this->targets.find(name);
  KINGCUPMILL_VERIFY(found != this->targets.end());
  return *found->second;
}

TargetName StandinHost::PrimaryOf(const Group& group) {
  TargetName primary;
  Term term;
  for (const TargetName& name : group.targets) {
    ReplicaMember& member = this->target(name).member();
    const TargetStatus status = member.status();
    const bool is_primary =
        member.is_running() && status.role == TargetRole::kPrimary;
    if (is_primary && status.term >= term) {
      primary = name;
      term = status.term;
    }
  }
  return primary;
}

}  // namespace kingcupmill
