#ifndef LIBDISPATCH_FORWARD_H_
#define LIBDISPATCH_FORWARD_H_

namespace kingcupmill {

struct DispatchOutcome;
struct DispatchRequest;
class CallerTransaction;
class EventLog;
class RequestDispatcher;
class GroupDispatcher;
class OpenTransaction;
class InFlightStatements;
class TargetView;

}  // namespace kingcupmill

#endif  // LIBDISPATCH_FORWARD_H_
