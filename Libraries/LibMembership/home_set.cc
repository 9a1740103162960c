#include "LibMembership/home_set.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace kingcupmill {

namespace {

uint64_t ScoreOf(const GroupName& group, const VmName& vm) {
  const std::string text = group.value + "/" + vm.value;
  return XXH64(text.data(), text.size(), 0);
}

// Returns the live members, or all members when none is live, by descending
// score.
std::vector<const Member*> RankMembers(const GroupName& group,
                                       std::span<const Member> members) {
  const bool has_live = std::any_of(
      members.begin(), members.end(),
      [](const Member& member) { return member.state == VmState::kLive; });
  std::vector<std::pair<uint64_t, const Member*>> scored;
  for (const Member& member : members) {
    if (!has_live || member.state == VmState::kLive)
      scored.emplace_back(ScoreOf(group, member.vm), &member);
  }
  std::sort(scored.begin(), scored.end(),
            [](const auto& left, const auto& right) {
              if (left.first != right.first)
                return left.first > right.first;
              return left.second->vm < right.second->vm;
            });
  std::vector<const Member*> ranked;
  ranked.reserve(scored.size());
  for (const auto& [score, member] : scored)
    ranked.push_back(member);
  return ranked;
}

}  // namespace

std::vector<VmName> ChooseHomes(const GroupName& group,
                                std::span<const Member> members,
                                const std::set<PlaceName>& target_places,
                                size_t count) {
  const std::vector<const Member*> ranked = RankMembers(group, members);
  std::set<VmName> chosen;
  // First choose the best VM of each availability zone that has a target.
  for (const PlaceName& place : target_places) {
    const auto best = std::find_if(
        ranked.begin(), ranked.end(),
        [&](const Member* member) { return member->place == place; });
    if (best != ranked.end())
      chosen.insert((*best)->vm);
  }
  // Then choose the best of the others, up to `count`.
  for (const Member* member : ranked) {
    if (chosen.size() >= count)
      break;
    chosen.insert(member->vm);
  }
  std::vector<VmName> homes;
  for (const Member* member : ranked) {
    if (chosen.contains(member->vm))
      homes.push_back(member->vm);
  }
  return homes;
}

}  // namespace kingcupmill
