#ifndef LIBOPERATOR_ARRANGEMENT_DIFF_H_
#define LIBOPERATOR_ARRANGEMENT_DIFF_H_

#include <string>
#include <vector>

#include "LibArrangement/arrangement.h"

namespace kingcupmill {

// A difference in one object between two arrangements.
struct ObjectChange {
  enum class Kind { kAdded, kRemoved, kChanged };
  Kind kind = Kind::kChanged;
  // "place", "group", "target" or "application".
  std::string object_kind;
  std::string name;
};

// Returns the objects that were added, removed or changed in `after`, compared
// with `before`.
std::vector<ObjectChange> DiffArrangements(const Arrangement& before,
                                           const Arrangement& after);

}  // namespace kingcupmill

#endif  // LIBOPERATOR_ARRANGEMENT_DIFF_H_
