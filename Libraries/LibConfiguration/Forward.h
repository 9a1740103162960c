#ifndef LIBCONFIGURATION_FORWARD_H_
#define LIBCONFIGURATION_FORWARD_H_

namespace kingcupmill {

class RevisionTracker;
struct ChangeRecord;

}  // namespace kingcupmill

#endif  // LIBCONFIGURATION_FORWARD_H_
