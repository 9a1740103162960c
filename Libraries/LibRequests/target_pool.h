#ifndef LIBREQUESTS_TARGET_POOL_H_
#define LIBREQUESTS_TARGET_POOL_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "LibCore/life_guard.h"
#include "LibCore/names.h"
#include "LibCore/scheduler.h"
#include "LibFailover/adaptive_timeout.h"
#include "LibRequests/client_request.h"
#include "LibRequests/slot_queue.h"
#include "LibTarget/target_connector.h"

namespace kingcupmill {

// Why a request to a target has no response.
enum class SubmitFailure {
  kNoConnection,  // Never sent: the target cannot be reached.
  kOverloaded,    // Never sent: it could not meet its deadline.
  kLost,          // Sent, but the answer is lost: it may have run.
};

using SubmitOutcome = std::variant<TargetResponse, SubmitFailure>;

// How an answer is matched with the request in flight on its connection. Taking
// any answer is unsafe and exists only to show that the check is needed.
enum class AnswerMatching { kByNumber, kAny };

// Whether a connection stays reserved for the submitter after the answer.
enum class PinPolicy { kShare, kPin };

// All connections of one proxy to one target: one for control messages, and a
// fixed number for work. Work waits in a queue until a connection is free. A
// connection whose answer did not arrive in time never carries work again; when
// one is found silent, its older siblings are tested before they do.
class TargetPool {
 public:
  struct Options {
    // Sent in the hello, for the target's own logs.
    std::string client_name;
    size_t work_connections = 2;
    // How long a sent request may go unanswered, at the most.
    Duration attempt_timeout = std::chrono::milliseconds(1500);
    Duration open_timeout = std::chrono::milliseconds(500);
    Duration reopen_delay = std::chrono::milliseconds(50);
    // Idle connections are tested this often.
    Duration test_interval = std::chrono::milliseconds(1000);
    AdaptiveTimeout::Options control_timeout = {std::chrono::milliseconds(150),
                                                std::chrono::seconds(2), 6};
    size_t maximum_queue = 256;
    AnswerMatching answer_matching = AnswerMatching::kByNumber;
  };

  // Identifies a pinned connection; changes when the connection is replaced.
  using PinId = uint64_t;
  using DidFinish = std::function<void(SubmitOutcome, PinId)>;
  // Gets the response, or nothing when it is lost or was never sent.
  using DidControl = std::function<void(std::optional<TargetResponse>)>;
  using DidLose = std::function<void()>;

  // A piece of work for the target.
  struct Work {
    TargetRequest request;
    PinPolicy pin_policy = PinPolicy::kShare;
    DidFinish did_finish;
  };

  TargetPool(Scheduler& scheduler,
             TargetConnector& connector,
             TargetName target,
             Options options,
             DidLose did_lose);
  ~TargetPool();
  TargetPool(const TargetPool&) = delete;
  TargetPool& operator=(const TargetPool&) = delete;

  // Queues work; the outcome comes at the latest at `deadline`.
  void Submit(const ApplicationName& application,
              Priority priority,
              TimePoint deadline,
              Work work);

  // Sends a request on a pinned connection that has none in flight. Tells
  // kNoConnection when the connection is gone.
  void SubmitPinned(PinId pin, TimePoint deadline, Work work);

  // Gives a pinned connection back, or closes it.
  enum class UnpinMode { kReuse, kClose };
  void Unpin(PinId pin, UnpinMode mode);

  // Sends a request on the control connection, ahead of all work.
  void Control(TargetRequest request, DidControl did_control);

  // Gives up on the work in flight, as lost, because this target is no longer
  // the primary and may never answer.
  void AbandonWork();

  // Tests idle connections and drops expired work; call it regularly.
  void Tick();

  // Whether any connection for work is open.
  bool is_usable() const;
  Duration ExpectedWait(Priority priority) const;
  Duration round_trip() const { return this->control_timeout.mean(); }
  size_t connection_count() const { return this->connections.size(); }
  uint64_t silent_count() const { return this->silent_connections; }

 private:
  enum class State { kOpening, kIdle, kBusy, kPinned, kTesting };
  enum class Use { kControl, kWork };

  struct InFlight {
    uint64_t number = 0;
    TimePoint sent_at;
    Scheduler::TimerId timer = 0;
    PinPolicy pin_policy = PinPolicy::kShare;
    bool is_from_queue = false;
    DidFinish did_finish;
  };
  struct Connection {
    std::shared_ptr<TargetConnection> link;
    Use use = Use::kWork;
    State state = State::kOpening;
    TimePoint opened_at;
    TimePoint last_answer_at;
    bool is_suspect = false;
    std::optional<InFlight> in_flight;
    std::map<uint64_t, DidControl> controls;
  };
  using ConnectionId = uint64_t;
  using Queue = SlotQueue<Work>;

  void Open(Use use);
  void DidOpen(ConnectionId id);
  void DidReceive(ConnectionId id, TargetResponse response);
  void DidReceiveWork(ConnectionId id, TargetResponse response);
  // Forgets the connection, fails what is on it and opens another one later.
  void Drop(ConnectionId id);
  void DidFindSilent(ConnectionId id);
  void SendControl(ConnectionId id,
                   TargetRequest request,
                   Duration timeout,
                   DidControl did_control);
  void StartTest(ConnectionId id);
  void Send(ConnectionId id, TimePoint deadline, Work work, bool is_from_queue);
  void Dispatch();
  void UpdateConcurrency();
  std::optional<ConnectionId> FindIdle() const;
  std::optional<ConnectionId> FindControl() const;

  Scheduler& scheduler;
  TargetConnector& connector;
  TargetName target;
  Options options;
  DidLose did_lose;
  AdaptiveTimeout control_timeout;
  Queue queue;
  std::map<ConnectionId, Connection> connections;
  ConnectionId next_connection = 1;
  uint64_t next_number = 1;
  uint64_t silent_connections = 0;
  LifeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBREQUESTS_TARGET_POOL_H_
