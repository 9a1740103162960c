#ifndef LIBREQUESTS_TARGET_POOL_H_
#define LIBREQUESTS_TARGET_POOL_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "LibCore/lifetime_guard.h"
#include "LibCore/names.h"
#include "LibCore/scheduler.h"
#include "LibFailover/adaptive_timeout.h"
#include "LibRequests/client_request.h"
#include "LibRequests/slot_queue.h"
#include "LibTarget/target_connector.h"

namespace kingcupmill {

// Why a request to a target got no response.
enum class SubmitFailure {
  kNoConnection,  // Not sent: there is no connection to the target.
  kOverloaded,    // Not sent: the request could not meet its deadline.
  kLost,          // Sent, but no response arrived: it may have run.
};

using SubmitOutcome = std::variant<TargetResponse, SubmitFailure>;

// How a response is matched with the request in flight on its connection. kAny
// accepts every response. It is unsafe and exists only to show that the check
// is needed.
enum class AnswerMatching { kByNumber, kAny };

// Whether a connection stays reserved for the submitter after the response.
enum class PinPolicy { kShare, kPin };

// A proxy's connection pool for one target: one connection for control requests
// and a fixed number for work. Work is queued until a connection is free. A
// connection on which a request times out is closed and replaced. When a
// control request or a connection test times out, the remaining connections are
// tested before they carry work again.
class TargetPool {
 public:
  struct Options {
    // Sent in the hello request, for the target's logs.
    std::string client_name;
    size_t work_connections = 2;
    // The longest time to wait for a response to a work request.
    Duration attempt_timeout = std::chrono::milliseconds(1500);
    Duration open_timeout = std::chrono::milliseconds(500);
    Duration reopen_delay = std::chrono::milliseconds(50);
    // A connection is tested when it has been idle for this long.
    Duration test_interval = std::chrono::milliseconds(1000);
    AdaptiveTimeout::Options control_timeout = {std::chrono::milliseconds(150),
                                                std::chrono::seconds(2), 6};
    size_t maximum_queue = 256;
    AnswerMatching answer_matching = AnswerMatching::kByNumber;
  };

  // Identifies a pinned connection; changes when the connection is replaced.
  using PinId = uint64_t;
  using DidFinish = std::function<void(SubmitOutcome, PinId)>;
  // Receives the response, or nothing when the request was not sent or got no
  // response.
  using DidReceiveControl = std::function<void(std::optional<TargetResponse>)>;
  // Called when the control connection is lost.
  using DidLoseControl = std::function<void()>;

  // A request for the target. `did_finish` is called exactly once.
  struct Work {
    TargetRequest request;
    PinPolicy pin_policy = PinPolicy::kShare;
    DidFinish did_finish;
  };

  TargetPool(Scheduler& scheduler,
             TargetConnector& connector,
             TargetName target,
             Options options,
             DidLoseControl did_lose_control);
  ~TargetPool();
  TargetPool(const TargetPool&) = delete;
  TargetPool& operator=(const TargetPool&) = delete;

  // Queues `work`. When it has not finished by `deadline`, it fails then, or at
  // the next Tick() if it is still in the queue.
  void Submit(const ApplicationName& application,
              Priority priority,
              TimePoint deadline,
              Work work);

  // Sends `work` on a pinned connection that has no request in flight. Fails
  // with kNoConnection when the connection has been closed.
  void SubmitPinned(PinId pin, TimePoint deadline, Work work);

  // Returns a pinned connection to the pool, or closes it.
  enum class UnpinMode { kReuse, kClose };
  void Unpin(PinId pin, UnpinMode mode);

  // Sends a request on the control connection, without queueing it.
  void SubmitControl(TargetRequest request, DidReceiveControl did_receive);

  // Fails the work in flight with kLost and replaces its connections. Call it
  // when the target is no longer the primary, because it may never respond.
  void FailWorkInFlight();

  // Fails expired work with kOverloaded and tests idle connections. Call it
  // regularly.
  void Tick();

  // Whether any work connection is open.
  bool is_usable() const;
  Duration ExpectedWait(Priority priority) const;
  Duration round_trip() const { return this->control_timeout.mean(); }
  size_t connection_count() const { return this->connections.size(); }
  uint64_t unresponsive_count() const { return this->unresponsive_connections; }

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
    std::shared_ptr<TargetConnection> transport;
    Use use = Use::kWork;
    State state = State::kOpening;
    TimePoint opened_at;
    TimePoint last_answer_at;
    bool is_suspect = false;
    std::optional<InFlight> in_flight;
    std::map<uint64_t, DidReceiveControl> controls;
  };
  using ConnectionId = uint64_t;
  using Queue = SlotQueue<Work>;

  void Open(Use use);
  void DidOpen(ConnectionId id);
  void DidReceive(ConnectionId id, TargetResponse response);
  void DidReceiveWork(ConnectionId id, TargetResponse response);
  // Closes the connection, fails its requests and opens another connection
  // after `reopen_delay`.
  void CloseAndReopen(ConnectionId id);
  void DidFindUnresponsive(ConnectionId id);
  void SendControl(ConnectionId id,
                   TargetRequest request,
                   Duration timeout,
                   DidReceiveControl did_receive);
  void StartConnectionTest(ConnectionId id);
  void SendWork(ConnectionId id,
                TimePoint deadline,
                Work work,
                bool is_from_queue);
  void Dispatch();
  void UpdateConcurrency();
  std::optional<ConnectionId> FindIdleWorkConnection() const;
  std::optional<ConnectionId> FindIdleControlConnection() const;

  Scheduler& scheduler;
  TargetConnector& connector;
  TargetName target;
  Options options;
  DidLoseControl did_lose_control;
  AdaptiveTimeout control_timeout;
  Queue queue;
  std::map<ConnectionId, Connection> connections;
  ConnectionId next_connection = 1;
  uint64_t next_number = 1;
  uint64_t unresponsive_connections = 0;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBREQUESTS_TARGET_POOL_H_
