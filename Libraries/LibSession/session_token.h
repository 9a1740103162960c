#ifndef LIBSESSION_SESSION_TOKEN_H_
#define LIBSESSION_SESSION_TOKEN_H_

#include <map>

#include "LibCore/names.h"

namespace kingcupmill {

// The latest confirmed log point that a session has written or read in each
// group.
struct SessionToken {
  std::map<GroupName, LogPoint> points;

  // Advances the session's point in `group` to `point`, unless it is already at
  // or beyond it.
  void Advance(const GroupName& group, const LogPoint& point) {
    LogPoint& current = this->points[group];
    if (point.position > current.position)
      current = point;
  }

  friend bool operator==(const SessionToken&, const SessionToken&) = default;
};

}  // namespace kingcupmill

#endif  // LIBSESSION_SESSION_TOKEN_H_
