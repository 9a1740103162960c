#ifndef LIBEMULATOR_FORWARD_H_
#define LIBEMULATOR_FORWARD_H_

namespace kingcupmill {

class EmulatedCaller;
class EmulatedGroup;
class EmulatedNode;
class EmulatedStore;
class EmulatedTarget;
class EmulatedCluster;
class NodeScheduler;
class ConsistencyChecker;

}  // namespace kingcupmill

#endif  // LIBEMULATOR_FORWARD_H_
