#ifndef LIBFAILOVER_GROUP_VIEW_H_
#define LIBFAILOVER_GROUP_VIEW_H_

#include <map>
#include <optional>
#include <span>
#include <vector>

#include "LibCore/names.h"
#include "LibCore/time.h"
#include "LibFailover/staleness_tracker.h"
#include "LibTarget/target_status.h"

namespace kingcupmill {

// The primary of a group, as seen by one proxy.
struct PrimaryView {
  TargetName target;
  Term term;
  friend bool operator==(const PrimaryView&, const PrimaryView&) = default;
};

// What a proxy knows about the targets of a group from their statuses.
class GroupView {
 public:
  // The latest status of one target.
  struct Observation {
    TargetStatus status;
    // When the status was requested. It was true at some time after that.
    TimePoint sent_at;
    TimePoint received_at;
    bool is_reachable = false;
    // When the target became unreachable.
    TimePoint unreachable_since;
  };

  GroupView(std::vector<TargetName> members,
            StalenessTracker::Options tracker_options);

  // Records a status that was requested at `sent_at`. It is ignored when the
  // response to a later request has already arrived.
  void DidReceiveStatus(const TargetName& target,
                        const TargetStatus& status,
                        TimePoint sent_at,
                        TimePoint received_at);
  // Records that the control connection to `target` was lost.
  void DidLoseTarget(const TargetName& target, TimePoint now);

  std::span<const TargetName> members() const { return this->names; }
  size_t majority() const { return this->names.size() / 2 + 1; }

  // Returns the primary of the highest known term, if it is reachable.
  std::optional<PrimaryView> primary() const;
  Term highest_term() const { return this->highest_known_term; }

  // Returns the latest time at which a majority of the group was known not to
  // have been sealed in a term above that of primary(). Before that time no
  // other primary could confirm a write.
  std::optional<TimePoint> majority_confirmed_at() const;

  // Returns the observation of a member, or nullptr before its first status.
  const Observation* Find(const TargetName& target) const;

  // Returns the highest known confirmed position.
  Position confirmed() const { return this->highest_confirmed; }
  const StalenessTracker& staleness_tracker() const { return this->tracker; }

 private:
  // A confirmed position of the primary. It becomes a staleness sample once a
  // majority confirms that the target was still the primary at that time.
  struct PendingSample {
    Term term;
    TimePoint at;
    Position confirmed;
  };

  // Adds the pending samples that a majority has confirmed, and drops those of
  // earlier terms.
  void AddConfirmedSamples();

  std::vector<TargetName> names;
  std::map<TargetName, Observation> observations;
  Term highest_known_term;
  Position highest_confirmed;
  StalenessTracker tracker;
  std::vector<PendingSample> pending_samples;
};

}  // namespace kingcupmill

#endif  // LIBFAILOVER_GROUP_VIEW_H_
