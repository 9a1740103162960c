#include "LibEmulator/emulated_traffic.h"

#include <algorithm>

namespace kingcupmill {

namespace {

const size_t kControlKinds[] = {
    EmulatedTraffic::KindOf<StoreCopyQuery>(),
    EmulatedTraffic::KindOf<ClosePrimaryQuery>(),
    EmulatedTraffic::KindOf<HealthQuery>(),
    EmulatedTraffic::KindOf<StoreChangeQuery>(),
};

}  // namespace

void EmulatedTraffic::Add(const std::string& sender,
                          size_t kind,
                          size_t bytes) {
  Sum& sum = this->by_sender[sender].at(kind);
  ++sum.messages;
  sum.bytes += bytes;
}

EmulatedTraffic::Sum EmulatedTraffic::Total(size_t kind) const {
  Sum total;
  for (const auto& [sender, sums] : this->by_sender) {
    total.messages += sums.at(kind).messages;
    total.bytes += sums.at(kind).bytes;
  }
  return total;
}

EmulatedTraffic::Sum EmulatedTraffic::Maximum(size_t kind) const {
  Sum maximum;
  for (const auto& [sender, sums] : this->by_sender) {
    if (sums.at(kind).bytes > maximum.bytes)
      maximum = sums.at(kind);
  }
  return maximum;
}

EmulatedTraffic::Sum EmulatedTraffic::MaximumForControl() const {
  Sum maximum;
  for (const auto& [sender, sums] : this->by_sender) {
    Sum control;
    for (const size_t kind : kControlKinds) {
      control.messages += sums.at(kind).messages;
      control.bytes += sums.at(kind).bytes;
    }
    if (control.bytes > maximum.bytes)
      maximum = control;
  }
  return maximum;
}

}  // namespace kingcupmill
