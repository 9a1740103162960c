#ifndef LIBSESSION_SESSION_TOKEN_H_
#define LIBSESSION_SESSION_TOKEN_H_

#include <map>

#include "LibCore/names.h"

namespace kingcupmill {

// The latest confirmed point that a session has written or seen in each group.
struct SessionToken {
  std::map<GroupName, LogPoint> points;

  // Moves the session's point in `group` forward, never back.
  void Advance(const GroupName& group, const LogPoint& point) {
    LogPoint& current = this->points[group];
    if (point.position > current.position)
      current = point;
  }

  friend bool operator==(const SessionToken&, const SessionToken&) = default;
};

}  // namespace kingcupmill

#endif  // LIBSESSION_SESSION_TOKEN_H_
