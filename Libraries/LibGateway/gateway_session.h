#ifndef LIBGATEWAY_GATEWAY_SESSION_H_
#define LIBGATEWAY_GATEWAY_SESSION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "LibCore/lifetime_guard.h"
#include "LibCore/names.h"
#include "LibCore/scheduler.h"
#include "LibDirectory/route_table.h"
#include "LibDispatch/caller_transaction.h"
#include "LibDispatch/request_dispatcher.h"
#include "LibGateway/caller_channel.h"
#include "LibGateway/session_authorizer.h"
#include "LibStatement/caller_statement.h"
#include "LibStatement/session_context.h"

namespace kingcupmill {

// The services of the proxy that its sessions use.
class SessionHost {
 public:
  virtual ~SessionHost() = default;
  // Returns the current route of a database, or null if it is not configured.
  virtual const CallerRoute* FindRoute(std::string_view database) const = 0;
  // Returns the dispatcher of a group, which sends requests to its targets or
  // forwards them to a home, or null while the group has none.
  virtual RequestDispatcher* FindRequestDispatcher(const GroupName& group) = 0;
  virtual SessionAuthorizer& session_authorizer() = 0;
  virtual Duration transaction_idle_limit() const = 0;
  // Whether a transaction may begin now.
  virtual bool accepts_transactions() const = 0;
  // Whether a statement of the route may begin now.
  virtual bool accepts_statement(const CallerRoute& route) const = 0;
  // Called for each answer, just before it is sent.
  virtual void DidAnswerCaller(const CallerStatement& statement,
                               const StatementAnswer& answer,
                               TimePoint received_at) = 0;
};

// The session of one caller: its session values, prepared statements and
// transaction. Statements that need no target are answered here.
class GatewaySession {
 public:
  GatewaySession(Scheduler& scheduler,
                 SessionHost& host,
                 CallerChannel& channel,
                 std::string database,
                 std::string key,
                 uint64_t number);
  ~GatewaySession();

  // Queues a statement; statements run one at a time, in order. Closes the
  // channel if the caller has sent too many ahead of their answers.
  void DidReceive(CallerStatement statement);

  // Unique within the proxy's process.
  uint64_t number() const { return this->session_number; }

  // Whether no statement or transaction is open, so that closing the session
  // loses nothing.
  bool can_close() const;
  // Returns the size of the values and prepared statements that are kept.
  size_t kept_bytes() const { return this->session_context->size_bytes(); }
  bool is_in_transaction() const { return this->state != SessionState::kIdle; }

  // A new configuration is in force. If the session's key is no longer valid,
  // rolls back the transaction and closes the session as soon as the caller has
  // been told; a statement that is already running is answered first.
  void DidChangeConfiguration();

  // Rolls back the open transaction unless it is running a statement. The next
  // statement, unless it is a rollback, fails with `reason`.
  void AbortIdleTransaction(const char* reason);

  // Fails the running statement and drops the queued ones, since the process is
  // about to exit. The statement is answered as aborted within a transaction,
  // and otherwise (also for a commit) as in doubt.
  void FailOutstanding();

 private:
  void Handle(const CallerStatement& statement);
  void HandleInTransaction(const CallerStatement& statement);
  void HandleOutsideTransaction(const CallerStatement& statement);
  bool HandleSessionStatement(const CallerStatement& statement);
  void RunAutocommit(const CallerStatement& statement, StatementAccess access);
  void StartTransaction(const CallerStatement& statement);
  void RunInTransaction(const CallerStatement& statement);
  void DidFinishAutocommit(DispatchOutcome outcome);
  void DidStartTransaction(const CallerStatement& statement,
                           DispatchOutcome outcome);
  void DidFinishInTransaction(TransactionStep step, StatementAnswer answer);
  std::optional<StatementAccess> AccessOf(
      const CallerStatement& statement) const;
  TargetCommand CommandFor(const CallerStatement& statement) const;
  // Returns the route if a statement may begin on it. Otherwise answers the
  // current statement with an error and returns null.
  const CallerRoute* FindUsableRoute();
  // Looks up the key in the newest configuration.
  std::optional<SessionCustomer> Identify() const;
  // Fills in the customer of a request.
  static void SetCustomer(DispatchRequest& request,
                          const SessionCustomer& customer);
  // Whether the open transaction may go on: the key is valid and still belongs
  // to the customer under whose name the transaction's connection was opened.
  bool is_transaction_allowed() const;
  // Ends the transaction and answers the current statement, which is the last
  // one, because the key is no longer valid.
  void RefuseLastStatement(StatementErrorCode code);
  // Between two statements: rolls back a transaction that is no longer allowed,
  // and closes an idle session whose key is no longer valid.
  void ApplyAuthorization();
  void PostClose();
  void Answer(StatementAnswer answer);
  void AnswerDone();
  void AnswerError(StatementErrorCode code, std::string message);
  void EndTransaction();
  void RestartIdleTimer();
  void Next();

  Scheduler& scheduler;
  SessionHost& host;
  CallerChannel& channel;
  std::string database;
  // As the caller server passed it; never logged.
  std::string key;
  uint64_t session_number;
  std::shared_ptr<SessionContext> session_context =
      std::make_shared<SessionContext>();
  SessionState state = SessionState::kIdle;
  // The caller declared the transaction read-only.
  bool is_read_only = false;
  std::unique_ptr<CallerTransaction> transaction;
  // The customer for which the transaction was started, or is being started.
  CustomerName transaction_customer;
  // The session is about to be closed because of its key.
  bool is_closing = false;
  // Why the transaction was rolled back, until the caller has been told.
  std::optional<std::string> abort_reason;
  std::optional<LogPoint> last_commit;
  std::deque<CallerStatement> queued_statements;
  std::optional<CallerStatement> current;
  TimePoint received_at{};
  RequestDispatcher* request_dispatcher = nullptr;
  RequestDispatcher::RequestNumber request_number = 0;
  Scheduler::TimerId idle_timer = 0;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBGATEWAY_GATEWAY_SESSION_H_
