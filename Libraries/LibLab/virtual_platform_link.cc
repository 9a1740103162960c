#include "LibLab/virtual_platform_link.h"

#include <memory>
#include <utility>

#include "LibConfiguration/change_record.h"

namespace kingcupmill {

namespace {

constexpr Duration kCallTimeout = std::chrono::milliseconds(1500);

}  // namespace

VirtualPlatformLink::VirtualPlatformLink(Scheduler& scheduler,
                                         StandinNetwork& network,
                                         PlatformState& state,
                                         const Faults& faults,
                                         VmName vm)
    : scheduler(scheduler),
      network(network),
      state(state),
      faults(faults),
      vm(std::move(vm)) {}

template <typename T, typename Operation>
void VirtualPlatformLink::Call(DidComplete<T> did, Operation operation) {
  auto callback = std::make_shared<DidComplete<T>>(std::move(did));
  const auto finish = [callback](ValueOrError<T> outcome) {
    if (*callback)
      std::exchange(*callback, nullptr)(std::move(outcome));
  };
  this->scheduler.PostAfter(kCallTimeout, [finish] {
    finish(Error{ErrorCode::kTimeout, "no answer"});
  });
  StandinNetwork* network = &this->network;
  const Faults* current = &this->faults;
  network->Deliver(
      this->vm.value, kNode,
      [network, current, finish, operation, vm = this->vm.value] {
        ValueOrError<T> outcome = Error{ErrorCode::kUnavailable, "down"};
        if (!current->is_down)
          outcome = operation();
        network->Deliver(kNode, vm, [finish, outcome] { finish(outcome); });
      });
}

void VirtualPlatformLink::ReadRow(std::string_view key,
                                  DidComplete<PlatformRow> did) {
  this->Call<PlatformRow>(
      std::move(did),
      [platform = &this->state, current = &this->faults,
       key = std::string(key)]() -> ValueOrError<PlatformRow> {
        if (key == kHeadKey && current->stale_head.version != 0)
          return current->stale_head;
        return platform->ReadRow(key);
      });
}

void VirtualPlatformLink::WriteRow(std::string_view key,
                                   std::string_view value,
                                   uint64_t expected,
                                   DidComplete<WriteOutcome> did) {
  this->Call<WriteOutcome>(
      std::move(did),
      [platform = &this->state, key = std::string(key),
       value = std::string(value), expected]() -> ValueOrError<WriteOutcome> {
        return platform->WriteRow(key, value, expected);
      });
}

void VirtualPlatformLink::ReadBlob(std::string_view digest,
                                   DidComplete<std::string> did) {
  this->Call<std::string>(
      std::move(did),
      [platform = &this->state,
       digest = std::string(digest)]() -> ValueOrError<std::string> {
        const auto text = platform->ReadBlob(digest);
        if (!text)
          return Error{ErrorCode::kNotFound, "no such blob"};
        return *text;
      });
}

void VirtualPlatformLink::ListVms(DidComplete<std::vector<VmRecord>> did) {
  this->Call<std::vector<VmRecord>>(
      std::move(did),
      [platform = &this->state]() -> ValueOrError<std::vector<VmRecord>> {
        return platform->vms();
      });
}

}  // namespace kingcupmill
