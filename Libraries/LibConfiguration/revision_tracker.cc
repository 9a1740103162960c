#include "LibConfiguration/revision_tracker.h"

#include "LibArrangement/arrangement_parser.h"

namespace kingcupmill {

RevisionTracker::RevisionTracker(DowngradePolicy downgrade_policy)
    : downgrade_policy(downgrade_policy) {}

bool RevisionTracker::DidLearnRevision(TimePoint now,
                                       const RevisionName& name,
                                       RevisionSource source) {
  if (source == RevisionSource::kStore)
    this->DidReachStore(now);
  if (name.revision.value == 0)
    return false;
  if (name.revision == this->revision_in_force.revision) {
    if (name.digest != this->revision_in_force.digest)
      ++this->contradictions;
    return false;
  }
  const bool is_older = name.revision < this->revision_in_force.revision;
  if (is_older && this->downgrade_policy == DowngradePolicy::kRefused)
    return false;
  if (this->wanted_revision && this->wanted_revision->revision > name.revision)
    return false;
  // A digest from the store takes precedence over one from a peer.
  const bool is_same_revision =
      this->wanted_revision && this->wanted_revision->revision == name.revision;
  if (is_same_revision && source == RevisionSource::kPeer)
    return this->wanted_revision->digest == name.digest;
  this->wanted_revision = name;
  return true;
}

bool RevisionTracker::DidReceiveText(TimePoint now,
                                     const RevisionName& name,
                                     std::string_view text) {
  if (!this->wanted_revision || *this->wanted_revision != name)
    return false;
  if (DigestOfText(text) != name.digest)
    return false;
  this->revision_in_force = name;
  this->wanted_revision.reset();
  this->last_adopted_at = now;
  return true;
}

}  // namespace kingcupmill
