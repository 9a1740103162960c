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

// Who named a revision: the platform's store or another proxy.
enum class RevisionSource { kStore, kPeer };

// Decides which revision of the arrangement a proxy has in force and which one
// it should fetch. The revision in force never decreases, whatever the store or
// a peer names, and a text is accepted only if it matches its digest. This
// class performs no I/O and reads no clock.
class RevisionTracker {
 public:
  // Whether lower revisions are refused. They are allowed only in
  // simulations that show that the check is needed.
  enum class DowngradePolicy { kRefused, kAllowed };

  explicit RevisionTracker(
      DowngradePolicy downgrade_policy = DowngradePolicy::kRefused);

  // Called when the store or a peer names a revision. Returns whether the
  // caller should fetch its text.
  bool DidLearnRevision(TimePoint now,
                        const RevisionName& name,
                        RevisionSource source);

  // Called when the text of a revision has arrived. Returns whether the
  // revision is now in force: it must be the wanted one and `text` must match
  // its digest.
  bool DidReceiveText(TimePoint now,
                      const RevisionName& name,
                      std::string_view text);

  // Called when the store has answered, whatever the answer is.
  void DidReachStore(TimePoint now) { this->last_store_answer_at = now; }

  const RevisionName& in_force() const { return this->revision_in_force; }
  const std::optional<RevisionName>& wanted() const {
    return this->wanted_revision;
  }
  std::optional<TimePoint> adopted_at() const { return this->last_adopted_at; }
  std::optional<TimePoint> last_store_contact() const {
    return this->last_store_answer_at;
  }
  // How often the revision in force was named with a different digest.
  uint64_t contradiction_count() const { return this->contradictions; }

 private:
  DowngradePolicy downgrade_policy;
  RevisionName revision_in_force;
  std::optional<RevisionName> wanted_revision;
  std::optional<TimePoint> last_adopted_at;
  std::optional<TimePoint> last_store_answer_at;
  uint64_t contradictions = 0;
};

}  // namespace kingcupmill

#endif  // LIBCONFIGURATION_REVISION_TRACKER_H_
