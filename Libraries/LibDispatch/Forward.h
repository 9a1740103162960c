#ifndef LIBDISPATCH_FORWARD_H_
#define LIBDISPATCH_FORWARD_H_

namespace kingcupmill {

struct WorkOutcome;
struct WorkRequest;
class CallerTransaction;
class EventJournal;
class GroupAccess;
class GroupDispatcher;
class OpenTransaction;
class SentStatements;
class TargetView;

}  // namespace kingcupmill

#endif  // LIBDISPATCH_FORWARD_H_
