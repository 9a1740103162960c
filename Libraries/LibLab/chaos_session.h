#ifndef LIBLAB_CHAOS_SESSION_H_
#define LIBLAB_CHAOS_SESSION_H_

#include <memory>
#include <optional>
#include <vector>

#include "LibLab/call_record.h"
#include "LibLab/history_checker.h"
#include "LibLab/virtual_world.h"
#include "LibRequests/client_request.h"

namespace kingcupmill {

// One caller in a VirtualWorld. It makes one call at a time, sends each request
// to a random proxy and carries its session's point along.
class ChaosSession {
 public:
  struct Options {
    size_t number = 0;
    GroupName group;
    Duration staleness_bound = std::chrono::milliseconds(500);
  };

  ChaosSession(VirtualWorld& world, Options options);
  ~ChaosSession();
  ChaosSession(const ChaosSession&) = delete;
  ChaosSession& operator=(const ChaosSession&) = delete;

  bool is_busy() const { return this->current.has_value(); }

  // Starts a random call. The session must not be busy.
  void StartCall();

  // Ends the current call with an unknown outcome if its answer is overdue, as
  // after the death of its proxy.
  void ExpireCall();

  const std::vector<CallRecord>& history() const { return this->records; }
  const std::vector<ClockTick>& ticks() const { return this->clock_ticks; }

 private:
  struct Call {
    CallRecord record;
    TimePoint deadline;
    TransactionId transaction;
    // The statements of the transaction that have not been sent yet.
    std::vector<Statement> remaining;
    // The value that a clock write stores.
    std::optional<int64_t> clock_value;
  };

  void StartWrite();
  void StartClockWrite();
  void StartTransaction();
  void StartSessionRead();
  void StartBoundedRead();
  void Begin(CallKind kind);
  ClientRequest MakeRequest(ClientOperation operation);
  void Send(ClientRequest request, void (ChaosSession::*did)(ClientAnswer));
  void ContinueTransaction();

  void DidWrite(ClientAnswer answer);
  void DidBegin(ClientAnswer answer);
  void DidExecute(ClientAnswer answer);
  void DidRead(ClientAnswer answer);
  void Finish(ClientAnswer answer);

  VirtualWorld& world;
  Options options;
  std::optional<Call> current;
  uint64_t call_number = 0;
  std::vector<CallRecord> records;
  std::vector<ClockTick> clock_ticks;
  std::optional<LogPoint> point;
  int64_t last_sequence = 0;
  // The highest own sequence that was acknowledged or read.
  int64_t required_sequence = 0;
  std::shared_ptr<bool> is_alive = std::make_shared<bool>(true);
};

}  // namespace kingcupmill

#endif  // LIBLAB_CHAOS_SESSION_H_
