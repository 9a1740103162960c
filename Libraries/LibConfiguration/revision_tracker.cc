#include "LibConfiguration/revision_tracker.h"

#include "LibArrangement/arrangement_parser.h"

namespace kingcupmill {

RevisionTracker::RevisionTracker(StepBack step_back) : step_back(step_back) {}

bool RevisionTracker::DidHear(TimePoint now,
                              const RevisionName& name,
                              RevisionSource source) {
  if (source == RevisionSource::kStore)
    this->DidReachStore(now);
  if (name.revision.value == 0)
    return false;
  if (name.revision == this->current.revision) {
    if (name.digest != this->current.digest)
      ++this->contradictions;
    return false;
  }
  const bool is_older = name.revision < this->current.revision;
  if (is_older && this->step_back == StepBack::kRefused)
    return false;
  if (this->target && this->target->revision > name.revision)
    return false;
  // The store's word on a digest goes before a peer's.
  const bool is_same_revision =
      this->target && this->target->revision == name.revision;
  if (is_same_revision && source == RevisionSource::kPeer)
    return this->target->digest == name.digest;
  this->target = name;
  return true;
}

bool RevisionTracker::DidReceiveText(TimePoint now,
                                     const RevisionName& name,
                                     std::string_view text) {
  if (!this->target || *this->target != name)
    return false;
  if (DigestOfText(text) != name.digest)
    return false;
  this->current = name;
  this->target.reset();
  this->changed_at = now;
  return true;
}

}  // namespace kingcupmill
