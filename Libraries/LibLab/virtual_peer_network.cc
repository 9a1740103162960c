#include "LibLab/virtual_peer_network.h"

#include <memory>
#include <utility>

namespace kingcupmill {

namespace {

// Encodes and decodes a message, as if it were sent through a socket.
template <typename Concrete>
Concrete RoundTrip(const Concrete& message) {
  const std::vector<uint8_t> bytes = EncodePeerMessage(message);
  auto decoded = Capture([&] { return DecodePeerMessage(bytes); });
  return std::get<Concrete>(std::get<PeerMessage>(std::move(decoded)));
}

}  // namespace

VirtualPeerNetwork::VirtualPeerNetwork(Scheduler& scheduler,
                                       StandinNetwork& network,
                                       Directory& directory,
                                       VmName vm)
    : scheduler(scheduler),
      network(network),
      directory(directory),
      vm(std::move(vm)) {}

void VirtualPeerNetwork::Forward(const VmName& to,
                                 ClientRequest request,
                                 DidAnswer did_answer) {
  if (!this->directory.contains(to))
    return did_answer(ForwardFailure::kNotSent);
  auto callback = std::make_shared<DidAnswer>(std::move(did_answer));
  const auto finish = [callback](ForwardOutcome outcome) {
    if (*callback)
      std::exchange(*callback, nullptr)(std::move(outcome));
  };
  this->scheduler.PostAfter(request.time_left,
                            [finish] { finish(ForwardFailure::kLost); });
  const ForwardMessage message =
      RoundTrip(ForwardMessage{1, std::move(request)});
  this->network.Deliver(
      this->vm.value, to.value,
      [proxies = &this->directory, to, from = this->vm, message, finish,
       network = &this->network] {
        const auto receiver = proxies->find(to);
        // The process has ended, so its machine resets the connection.
        if (receiver == proxies->end())
          return finish(ForwardFailure::kLost);
        receiver->second.handle_forward(
            message.request, [network, to, from, finish](ClientAnswer answer) {
              const AnswerMessage encoded =
                  RoundTrip(AnswerMessage{1, std::move(answer)});
              network->Deliver(to.value, from.value,
                               [finish, encoded] { finish(encoded.answer); });
            });
      });
}

void VirtualPeerNetwork::Send(const VmName& to, const PeerMessage& message) {
  this->Transmit(this->vm, to, EncodePeerMessage(message));
}

void VirtualPeerNetwork::Transmit(const VmName& from,
                                  const VmName& to,
                                  std::vector<uint8_t> bytes) {
  Directory* proxies = &this->directory;
  StandinNetwork* network = &this->network;
  network->Deliver(from.value, to.value, [proxies, network, from, to, bytes] {
    const auto receiver = proxies->find(to);
    auto decoded = Capture([&] { return DecodePeerMessage(bytes); });
    const auto* message = std::get_if<PeerMessage>(&decoded);
    if (receiver == proxies->end() || !message)
      return;
    receiver->second.handle_message(
        *message, [proxies, network, from, to](const PeerMessage& answer) {
          network->Deliver(to.value, from.value, [proxies, from, answer] {
            const auto sender = proxies->find(from);
            if (sender == proxies->end())
              return;
            sender->second.handle_message(answer, [](const PeerMessage&) {});
          });
        });
  });
}

void VirtualPeerNetwork::SetMembers(const std::vector<Member>& members) {
  this->members = members;
}

bool VirtualPeerNetwork::is_reachable(const VmName& vm) const {
  return this->directory.contains(vm) &&
         !this->network.is_partitioned(this->vm.value, vm.value);
}

}  // namespace kingcupmill
