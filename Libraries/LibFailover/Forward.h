#ifndef LIBFAILOVER_FORWARD_H_
#define LIBFAILOVER_FORWARD_H_

namespace kingcupmill {

class AdaptiveTimeout;
class GroupView;
class StalenessTracker;
struct PrimaryView;

}  // namespace kingcupmill

#endif  // LIBFAILOVER_FORWARD_H_
