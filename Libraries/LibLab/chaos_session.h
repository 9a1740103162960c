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

// One caller in a VirtualWorld: roams between the proxies with its session's
// point and keeps one call under way at a time.
class ChaosSession {
 public:
  struct Options {
    size_t number = 0;
    GroupName group;
    Duration stated_age = std::chrono::milliseconds(500);
  };

  ChaosSession(VirtualWorld& world, Options options);
  ~ChaosSession();
  ChaosSession(const ChaosSession&) = delete;
  ChaosSession& operator=(const ChaosSession&) = delete;

  bool is_busy() const { return this->current.has_value(); }

  // Starts a random call. The session must not be busy.
  void StartCall();

  // Gives up on a call whose proxy died and will never answer.
  void ExpireCall();

  const std::vector<CallRecord>& history() const { return this->records; }
  const std::vector<ClockTick>& ticks() const { return this->clock_ticks; }

 private:
  struct Call {
    CallRecord record;
    TimePoint deadline;
    TransactionId transaction;
    // The statements of the transaction that are still to be sent.
    std::vector<Statement> remaining;
    // The value that a clock write carries.
    std::optional<int64_t> clock_value;
  };

  void StartWrite();
  void StartClockWrite();
  void StartTransaction();
  void StartOwnRead();
  void StartAgedRead();
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
  // The highest own sequence acknowledged or seen.
  int64_t required_sequence = 0;
  std::shared_ptr<bool> life = std::make_shared<bool>(true);
};

}  // namespace kingcupmill

#endif  // LIBLAB_CHAOS_SESSION_H_
