#include "LibGateway/store_readers.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace kingcupmill {

namespace {

// One reader may fail or be rejected by the store.
constexpr size_t kReadersPerPlace = 2;
// In a place with at most this many members each reads the store itself, since
// readers would save few calls.
constexpr size_t kMaximumMembersWithoutReaders = 4;

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
  if (!is_self_member || ranked.size() <= kMaximumMembersWithoutReaders)
    return {};
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> readers;
  for (size_t index = 0; index < kReadersPerPlace; ++index)
    readers.push_back(ranked[index].second);
  if (std::find(readers.begin(), readers.end(), self_address) != readers.end())
    return {};
  // Spreads the members evenly over the readers.
  std::rotate(readers.begin(),
              readers.begin() + static_cast<std::ptrdiff_t>(
                                    ScoreOf(self_address) % readers.size()),
              readers.end());
  return readers;
}

}  // namespace kingcupmill
