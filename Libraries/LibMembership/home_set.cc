#include "LibMembership/home_set.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace kingcupmill {

namespace {

uint64_t ScoreOf(const GroupName& group, const VmName& vm) {
  const std::string text = group.value + "/" + vm.value;
  return XXH64(text.data(), text.size(), 0);
}

// Returns the live members by falling score, or the leaving ones when no
// member is live.
std::vector<const Member*> RankMembers(const GroupName& group,
                                       std::span<const Member> members) {
  std::vector<const Member*> ranked;
  for (const Member& member : members) {
    if (member.state == VmState::kLive)
      ranked.push_back(&member);
  }
  if (ranked.empty()) {
    for (const Member& member : members)
      ranked.push_back(&member);
  }
  std::sort(ranked.begin(), ranked.end(),
            [&](const Member* left, const Member* right) {
              const uint64_t left_score = ScoreOf(group, left->vm);
              const uint64_t right_score = ScoreOf(group, right->vm);
              if (left_score != right_score)
                return left_score > right_score;
              return left->vm < right->vm;
            });
  return ranked;
}

}  // namespace

std::vector<VmName> ChooseHomes(const GroupName& group,
                                std::span<const Member> members,
                                const std::set<PlaceName>& target_places,
                                size_t count) {
  const std::vector<const Member*> ranked = RankMembers(group, members);
  std::set<VmName> chosen;
  // 1. The best VM of each place that has a target.
  for (const PlaceName& place : target_places) {
    const auto best = std::find_if(
        ranked.begin(), ranked.end(),
        [&](const Member* member) { return member->place == place; });
    if (best != ranked.end())
      chosen.insert((*best)->vm);
  }
  // 2. The best of the rest, up to the count.
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
