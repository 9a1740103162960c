#ifndef LIBCONFIGURATION_REVISION_TRACKER_H_
#define LIBCONFIGURATION_REVISION_TRACKER_H_

#include <optional>
#include <string>
#include <string_view>

#include "LibCore/names.h"
#include "LibCore/time.h"

namespace kingcupmill {

// A revision and the digest of its text.
struct RevisionName {
  Revision revision;
  std::string digest;
  friend bool operator==(const RevisionName&, const RevisionName&) = default;
};

// Where the text of a wanted revision may come from.
enum class RevisionSource { kStore, kPeer };

// Decides which revision a proxy holds and which it wants. A proxy moves
// forward only, whatever the store or a peer says, and a text is accepted only
// under the digest that names it. Pure.
class RevisionTracker {
 public:
  // Whether steps back are refused; off only to show that the check is needed.
  enum class StepBack { kRefused, kAllowed };

  explicit RevisionTracker(StepBack step_back = StepBack::kRefused);

  // The store or a peer names a revision. Returns whether its text is wanted.
  bool DidHear(TimePoint now, const RevisionName& name, RevisionSource source);

  // A text has arrived for the wanted revision. Returns whether it is now in
  // force; a text that does not match the digest is refused.
  bool DidReceiveText(TimePoint now,
                      const RevisionName& name,
                      std::string_view text);

  // The store answered, whatever it said.
  void DidReachStore(TimePoint now) { this->store_reached_at = now; }

  const RevisionName& in_force() const { return this->current; }
  const std::optional<RevisionName>& wanted() const { return this->target; }
  std::optional<TimePoint> adopted_at() const { return this->changed_at; }
  std::optional<TimePoint> last_store_contact() const {
    return this->store_reached_at;
  }
  // How often one revision was heard of under two digests.
  uint64_t contradiction_count() const { return this->contradictions; }

 private:
  StepBack step_back;
  RevisionName current;
  std::optional<RevisionName> target;
  std::optional<TimePoint> changed_at;
  std::optional<TimePoint> store_reached_at;
  uint64_t contradictions = 0;
};

}  // namespace kingcupmill

#endif  // LIBCONFIGURATION_REVISION_TRACKER_H_
