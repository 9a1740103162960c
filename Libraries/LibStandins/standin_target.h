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

// A database server for tests and the lab. It limits connections, runs
// statements in a fixed number of slots, allows one writer at a time and keeps
// its data in a ReplicaMember. Adapters carry its messages over sockets or in
// memory.
class StandinTarget {
 public:
  struct Options {
    ReplicaMember::Options member;
    // How many statements run at the same time.
    size_t slots = 2;
    size_t connection_cap = 16;
    Duration connect_time = std::chrono::milliseconds(12);
    // How long one statement occupies a slot.
    Duration service_time = Duration(300);
    // How long a write waits for the end of another transaction.
    Duration lock_timeout = std::chrono::milliseconds(500);
    // A connection without a request for this long is closed, because its
    // client may have died without closing it.
    Duration idle_limit = std::chrono::seconds(5);
  };

  using ConnectionId = uint64_t;
  using Reply = std::function<void(TargetResponse)>;
  using DidClose = std::function<void()>;

  // Totals since the server was created.
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

  // Opens a connection. Returns nothing when the server is not running.
  std::optional<ConnectionId> Open(Reply reply, DidClose did_close);

  // Called when the client closes the connection. Rolls back its open
  // transaction.
  void Close(ConnectionId connection);

  // Handles one request on an open connection.
  void Receive(ConnectionId connection, TargetRequest request);

  // Fault injection. Kill() closes all connections and loses open transactions;
  // the data persists.
  void Kill();
  void Restart();
  void SetServiceTime(Duration service_time);
  // Stops answering on every connection that is open now, without closing it.
  void SilenceConnections();

 private:
  struct Client {
    Reply reply;
    DidClose did_close;
    // Whether the hello was accepted, so that the connection counts towards the
    // limit.
    bool is_counted = false;
    // Set by SilenceConnections(): requests and answers are dropped.
    bool is_silent = false;
    TimePoint last_request_at;
  };
  // The interactive transaction that holds the write lock.
  struct Transaction {
    ConnectionId connection = 0;
    Term term;
    std::vector<Statement> statements;
  };
  // A request that waits for the write lock or until a position is visible.
  struct WaitingRequest {
    ConnectionId connection = 0;
    TargetRequest request;
    TimePoint deadline;
  };
  // The answer to a commit or begin that waits until its position is confirmed
  // by a majority.
  struct UnconfirmedAnswer {
    ConnectionId connection = 0;
    TargetResponse response;
  };

  void DidReceiveHello(ConnectionId connection, const TargetRequest& request);
  void DidReceiveHold(ConnectionId connection, const TargetRequest& request);
  void DidReceiveRead(ConnectionId connection, TargetRequest request);
  void DidReceiveWrite(ConnectionId connection, TargetRequest request);
  void DidReceiveInTransaction(ConnectionId connection, TargetRequest request);

  // Waits for a free slot, occupies it for the service time, then runs `task`.
  void Enqueue(std::function<void()> task);
  void RunQueued();

  void RunRead(ConnectionId connection, const TargetRequest& request);
  void RunWrite(ConnectionId connection, const TargetRequest& request);
  void RunBegin(ConnectionId connection, const TargetRequest& request);
  void RunExecute(ConnectionId connection, const TargetRequest& request);
  void RunCommit(ConnectionId connection, const TargetRequest& request);
  void RunRollback(ConnectionId connection, const TargetRequest& request);

  // Runs the statements on the working database. Stops at the first failure,
  // describes it in `response` and returns false.
  bool RunStatements(const TargetRequest& request,
                     TargetResponse& response,
                     std::vector<Statement>& executed);
  void FinishCommit(ConnectionId connection,
                    const TargetRequest& request,
                    TargetResponse response,
                    std::vector<Statement> executed);

  // Returns the error to answer a write with, or nothing if it may run.
  std::optional<TargetErrorCode> RefusalForWrite(
      const TargetRequest& request) const;
  void Answer(ConnectionId connection, TargetResponse response);
  void AnswerError(ConnectionId connection,
                   const TargetRequest& request,
                   TargetErrorCode error,
                   std::string message = {});
  void AnswerStatus(ConnectionId connection, const TargetRequest& request);

  void MemberDidChange();
  void RollBackTransaction();
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
  // Incremented when the server is killed, so that tasks of an earlier
  // incarnation do nothing.
  uint64_t incarnation = 1;
  std::deque<std::function<void()>> queue;
  std::optional<Transaction> transaction;
  // Writes are refused until then.
  TimePoint writes_held_until;
  std::deque<WaitingRequest> lock_waiters;
  std::vector<WaitingRequest> position_waiters;
  std::deque<UnconfirmedAnswer> unconfirmed;
};

}  // namespace kingcupmill

#endif  // LIBSTANDINS_STANDIN_TARGET_H_
