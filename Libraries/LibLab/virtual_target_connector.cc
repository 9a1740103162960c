#include "LibLab/virtual_target_connector.h"

#include <optional>
#include <utility>

namespace kingcupmill {

namespace {

// A duplicate is delivered less than this time after the first answer.
constexpr uint64_t kMaximumDuplicateDelayUs = 30'000;

}  // namespace

class VirtualTargetConnector::Connection final
    : public TargetConnection,
      public std::enable_shared_from_this<Connection> {
 public:
  Connection(VirtualTargetConnector& owner,
             StandinTarget& target,
             TargetConnectionHandlers handlers)
      : scheduler(owner.scheduler),
        network(owner.network),
        random(owner.random),
        faults(owner.faults),
        vm(owner.vm.value),
        target(target),
        handlers(std::move(handlers)) {}

  void Open() {
    this->network.Deliver(
        this->vm, this->target.name().value,
        [self = this->shared_from_this()] { self->DidReachTarget(); });
  }

  void Send(const TargetRequest& request) override {
    this->network.Deliver(this->vm, this->target.name().value,
                          [self = this->shared_from_this(), request] {
                            if (self->server_id)
                              self->target.Receive(*self->server_id, request);
                          });
  }

  void Close() override {
    this->handlers = {};
    this->network.Deliver(this->vm, this->target.name().value,
                          [self = this->shared_from_this()] {
                            if (self->server_id)
                              self->target.Close(*self->server_id);
                          });
  }

 private:
  void DidReachTarget() {
    const auto self = this->shared_from_this();
    this->server_id = this->target.Open(
        [self](TargetResponse response) { self->Answer(std::move(response)); },
        [self] { self->NotifyClosed(); });
    if (!this->server_id)
      return this->NotifyClosed();
    this->CallHandlers([](const TargetConnectionHandlers& current_handlers) {
      if (current_handlers.did_open)
        current_handlers.did_open();
    });
  }

  void Answer(TargetResponse response) {
    const bool is_duplicated =
        this->random.Below(1000) < this->faults.duplicate_answers_per_mille;
    const auto deliver = [self = this->shared_from_this(),
                          response = std::move(response)] {
      self->CallHandlers(
          [response](const TargetConnectionHandlers& current_handlers) {
            if (current_handlers.did_receive)
              current_handlers.did_receive(response);
          });
    };
    deliver();
    if (is_duplicated) {
      this->scheduler.PostAfter(
          Duration(static_cast<int64_t>(
              this->random.Below(kMaximumDuplicateDelayUs))),
          deliver);
    }
  }

  void NotifyClosed() {
    this->server_id.reset();
    this->CallHandlers([](const TargetConnectionHandlers& current_handlers) {
      if (current_handlers.did_close)
        current_handlers.did_close();
    });
  }

  // Calls the proxy's handlers after the latency back to it. They are copied,
  // because a handler may close the connection, which clears them.
  template <typename Call>
  void CallHandlers(Call call) {
    this->network.Deliver(this->target.name().value, this->vm,
                          [self = this->shared_from_this(), call] {
                            const auto current_handlers = self->handlers;
                            call(current_handlers);
                          });
  }

  Scheduler& scheduler;
  StandinNetwork& network;
  SeededRandom& random;
  const Faults& faults;
  std::string vm;
  StandinTarget& target;
  TargetConnectionHandlers handlers;
  std::optional<StandinTarget::ConnectionId> server_id;
};

VirtualTargetConnector::VirtualTargetConnector(Scheduler& scheduler,
                                               StandinNetwork& network,
                                               Targets& targets,
                                               SeededRandom& random,
                                               const Faults& faults,
                                               VmName vm)
    : scheduler(scheduler),
      network(network),
      targets(targets),
      random(random),
      faults(faults),
      vm(std::move(vm)) {}

std::shared_ptr<TargetConnection> VirtualTargetConnector::Connect(
    const TargetName& target,
    TargetConnectionHandlers handlers) {
  auto connection = std::make_shared<Connection>(
      *this, *this->targets.at(target), std::move(handlers));
  connection->Open();
  return connection;
}

}  // namespace kingcupmill
