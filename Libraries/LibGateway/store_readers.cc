#include "LibGateway/store_readers.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace kingcupmill {

namespace {

// Readers of a place: one may be lost, or turned away by the store.
constexpr size_t kReadersOfPlace = 2;
// Places with no more members read the store themselves; the calls of two
// readers would save little.
constexpr size_t kSmallPlace = 4;

uint64_t ScoreOf(const std::string& address) {
  return XXH64(address.data(), address.size(), 0);
}

}  // namespace

std::vector<std::string> ChooseStoreReaders(
    const std::map<std::string, MemberRecord>& members,
    const PlaceName& place,
    const std::string& self_address) {
  std::vector<std::pair<uint64_t, std::string>> ranked;
  bool is_self_member = false;
  for (const auto& [address, member] : members) {
    if (member.is_gone || member.place != place)
      continue;
    is_self_member |= address == self_address;
    ranked.emplace_back(ScoreOf(address), address);
  }
  if (!is_self_member || ranked.size() <= kSmallPlace)
    return {};
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> readers;
  for (size_t index = 0; index < kReadersOfPlace; ++index)
    readers.push_back(ranked[index].second);
  if (std::find(readers.begin(), readers.end(), self_address) != readers.end())
    return {};
  // Members share the readers evenly.
  std::rotate(readers.begin(),
              readers.begin() + static_cast<std::ptrdiff_t>(
                                    ScoreOf(self_address) % readers.size()),
              readers.end());
  return readers;
}

}  // namespace kingcupmill
