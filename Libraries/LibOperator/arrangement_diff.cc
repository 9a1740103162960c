#include "LibOperator/arrangement_diff.h"

namespace kingcupmill {

namespace {

template <typename Map>
void DiffMaps(const Map& before,
              const Map& after,
              const char* object_kind,
              std::vector<ObjectChange>& changes) {
  using Kind = ObjectChange::Kind;
  for (const auto& [name, object] : before) {
    const auto other = after.find(name);
    if (other == after.end())
      changes.push_back({Kind::kRemoved, object_kind, name.value});
    else if (!(other->second == object))
      changes.push_back({Kind::kChanged, object_kind, name.value});
  }
  for (const auto& [name, object] : after) {
    if (!before.contains(name))
      changes.push_back({Kind::kAdded, object_kind, name.value});
  }
}

}  // namespace

std::vector<ObjectChange> DiffArrangements(const Arrangement& before,
                                           const Arrangement& after) {
  std::vector<ObjectChange> changes;
  DiffMaps(before.places, after.places, "place", changes);
  DiffMaps(before.groups, after.groups, "group", changes);
  DiffMaps(before.targets, after.targets, "target", changes);
  DiffMaps(before.applications, after.applications, "application", changes);
  return changes;
}

}  // namespace kingcupmill
