#ifndef LIBDISPATCH_FORWARD_H_
#define LIBDISPATCH_FORWARD_H_

namespace kingcupmill {

struct DispatchOutcome;
struct DispatchRequest;
class CallerTransaction;
class EventLog;
class GroupDispatcher;
class InFlightStatements;
class OpenTransaction;
class RequestDispatcher;
class TargetView;

}  // namespace kingcupmill

#endif  // LIBDISPATCH_FORWARD_H_
