#include "LibLab/virtual_target_connector.h"

#include <optional>
#include <utility>

namespace kingcupmill {

namespace {

// A doubled answer comes within this time after the first one.
constexpr uint64_t kLongestDoublingDelayUs = 30'000;

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
        [self = this->shared_from_this()] { self->DidArrive(); });
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
  void DidArrive() {
    const auto self = this->shared_from_this();
    this->server_id = this->target.Open(
        [self](TargetResponse response) { self->Answer(std::move(response)); },
        [self] { self->TellClosed(); });
    if (!this->server_id)
      return this->TellClosed();
    this->Tell([](const TargetConnectionHandlers& current) {
      if (current.did_open)
        current.did_open();
    });
  }

  void Answer(TargetResponse response) {
    const bool is_doubled =
        this->random.Below(1000) < this->faults.doubled_answers_per_mille;
    const auto deliver = [self = this->shared_from_this(),
                          response = std::move(response)] {
      self->Tell([response](const TargetConnectionHandlers& current) {
        if (current.did_receive)
          current.did_receive(response);
      });
    };
    deliver();
    if (is_doubled) {
      this->scheduler.PostAfter(
          Duration(static_cast<int64_t>(
              this->random.Below(kLongestDoublingDelayUs))),
          deliver);
    }
  }

  void TellClosed() {
    this->server_id.reset();
    this->Tell([](const TargetConnectionHandlers& current) {
      if (current.did_close)
        current.did_close();
    });
  }

  // Calls the proxy's handlers after the way back. The handlers are copied,
  // because they may close the connection.
  template <typename Call>
  void Tell(Call call) {
    this->network.Deliver(this->target.name().value, this->vm,
                          [self = this->shared_from_this(), call] {
                            const auto current = self->handlers;
                            call(current);
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
