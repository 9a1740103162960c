#ifndef LIBSTANDINS_STANDIN_TARGET_H_
#define LIBSTANDINS_STANDIN_TARGET_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibStandins/replica_member.h"
#include "LibTarget/target_request.h"
#include "LibTarget/target_response.h"

namespace kingcupmill {

// A database server for tests and the lab: connections with a cap, execution
// slots, one writer at a time, and the data of a ReplicaMember. Adapters carry
// its messages over sockets or in memory.
class StandinTarget {
 public:
  struct Options {
    ReplicaMember::Options member;
    size_t slots = 2;
    size_t connection_cap = 16;
    Duration connect_time = std::chrono::milliseconds(12);
    // How long one statement occupies a slot.
    Duration service_time = Duration(300);
    // How long a write waits for another transaction's end.
    Duration lock_timeout = std::chrono::milliseconds(500);
    // A connection without a request for this long is closed, because its
    // client may be gone without a word.
    Duration idle_limit = std::chrono::seconds(5);
  };

  using ConnectionId = uint64_t;
  using Reply = std::function<void(TargetResponse)>;
  using DidClose = std::function<void()>;

  // What the server has counted since it was made.
  struct Counters {
    uint64_t reads = 0;
    uint64_t writes = 0;
    uint64_t refused_connections = 0;
    size_t peak_connections = 0;
  };

  StandinTarget(Scheduler& scheduler, StandinNetwork& network, Options options);

  ReplicaMember& member() { return this->replica; }
  const TargetName& name() const { return this->replica.name(); }
  const Counters& counters() const { return this->counts; }

  // Opens a connection; returns nothing when the server is stopped.
  std::optional<ConnectionId> Open(Reply reply, DidClose did_close);

  // The client closed the connection; its open transaction is rolled back.
  void Close(ConnectionId connection);

  // Handles one request on an open connection.
  void Receive(ConnectionId connection, TargetRequest request);

  // Fault knobs.
  void Kill();
  void Restart();
  void SetServiceTime(Duration service_time);
  // Makes every connection that is open now go silent for good.
  void SilenceConnections();

 private:
  struct Client {
    Reply reply;
    DidClose did_close;
    bool is_counted = false;
    bool is_silent = false;
    TimePoint last_request_at;
  };
  // The interactive transaction that holds the write lock.
  struct Transaction {
    ConnectionId connection = 0;
    Term term;
    std::vector<Statement> statements;
  };
  // A request that waits for the write lock or for a position.
  struct Waiting {
    ConnectionId connection = 0;
    TargetRequest request;
    TimePoint deadline;
  };
  // A committed transaction that waits for its majority.
  struct Unconfirmed {
    ConnectionId connection = 0;
    TargetResponse response;
  };

  void DidReceiveHello(ConnectionId connection, const TargetRequest& request);
  void DidReceiveHold(ConnectionId connection, const TargetRequest& request);
  void DidReceiveRead(ConnectionId connection, TargetRequest request);
  void DidReceiveWrite(ConnectionId connection, TargetRequest request);
  void DidReceiveInTransaction(ConnectionId connection, TargetRequest request);

  // Runs `work` when a slot is free and keeps the slot for the service time.
  void Enqueue(std::function<void()> work);
  void RunQueued();

  void RunRead(ConnectionId connection, const TargetRequest& request);
  void RunWrite(ConnectionId connection, const TargetRequest& request);
  void RunBegin(ConnectionId connection, const TargetRequest& request);
  void RunExecute(ConnectionId connection, const TargetRequest& request);
  void RunCommit(ConnectionId connection, const TargetRequest& request);
  void RunRollback(ConnectionId connection, const TargetRequest& request);

  // Runs the statements on the working database; stops at the first failure.
  bool RunStatements(const TargetRequest& request,
                     TargetResponse& response,
                     std::vector<Statement>& executed);
  void FinishCommit(ConnectionId connection,
                    const TargetRequest& request,
                    TargetResponse response,
                    std::vector<Statement> executed);

  std::optional<TargetErrorCode> RefusalForWrite(
      const TargetRequest& request) const;
  void Answer(ConnectionId connection, TargetResponse response);
  void AnswerError(ConnectionId connection,
                   const TargetRequest& request,
                   TargetErrorCode error,
                   std::string message = {});
  void AnswerStatus(ConnectionId connection, const TargetRequest& request);

  void MemberDidChange();
  void AbandonTransaction();
  void RetryLockWaiters();
  void RetryPositionWaiters();
  void ExpireWaiters();
  void CloseIdleClients();

  Scheduler& scheduler;
  Options options;
  ReplicaMember replica;
  Counters counts;

  ConnectionId next_connection = 1;
  std::map<ConnectionId, Client> clients;
  size_t used_connections = 0;

  size_t used_slots = 0;
  // Changes when the server is killed, so that work of an earlier life stops.
  uint64_t life = 1;
  std::deque<std::function<void()>> queue;
  std::optional<Transaction> transaction;
  TimePoint held_until;
  std::deque<Waiting> lock_waiters;
  std::vector<Waiting> position_waiters;
  std::deque<Unconfirmed> unconfirmed;
};

}  // namespace kingcupmill

#endif  // LIBSTANDINS_STANDIN_TARGET_H_
