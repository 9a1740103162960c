#ifndef LIBFAILOVER_GROUP_VIEW_H_
#define LIBFAILOVER_GROUP_VIEW_H_

#include <map>
#include <optional>
#include <span>
#include <vector>

#include "LibCore/names.h"
#include "LibCore/time.h"
#include "LibFailover/age_proofs.h"
#include "LibTarget/target_status.h"

namespace kingcupmill {

// The primary that a proxy believes in.
struct PrimaryView {
  TargetName target;
  Term term;
  friend bool operator==(const PrimaryView&, const PrimaryView&) = default;
};

// What one proxy knows about the targets of one group, from their statuses.
class GroupView {
 public:
  // The latest status of one target.
  struct Observation {
    TargetStatus status;
    // When the probe was sent: the status was true at some time after it.
    TimePoint sent_at;
    TimePoint received_at;
    bool is_reachable = false;
    // When the target became unreachable.
    TimePoint lost_at;
  };

  GroupView(std::vector<TargetName> members, AgeProofs::Options proof_options);

  // Takes the status that answers a probe sent at `sent_at`. An answer that
  // was overtaken by the answer to a later probe is ignored.
  void DidReceiveStatus(const TargetName& target,
                        const TargetStatus& status,
                        TimePoint sent_at,
                        TimePoint received_at);
  void DidLoseTarget(const TargetName& target, TimePoint now);

  std::span<const TargetName> members() const { return this->names; }
  size_t majority() const { return this->names.size() / 2 + 1; }

  // Returns the reachable primary of the highest term known.
  std::optional<PrimaryView> primary() const;
  Term highest_term() const { return this->highest; }

  // Returns the latest time at which a majority of the group had not been
  // sealed above the term of primary(): until then no other primary was able
  // to confirm a write.
  std::optional<TimePoint> majority_confirmed_at() const;

  // Returns the observation of a member; nothing before its first status.
  const Observation* Find(const TargetName& target) const;

  // The highest confirmed position known.
  Position confirmed() const { return this->highest_confirmed; }
  const AgeProofs& age_proofs() const { return this->proofs; }

 private:
  // A position of the primary that awaits proof that it led at that time.
  struct Unproven {
    Term term;
    TimePoint at;
    Position confirmed;
  };

  void ProveAges();

  std::vector<TargetName> names;
  std::map<TargetName, Observation> observations;
  Term highest;
  Position highest_confirmed;
  AgeProofs proofs;
  std::vector<Unproven> unproven;
};

}  // namespace kingcupmill

#endif  // LIBFAILOVER_GROUP_VIEW_H_
