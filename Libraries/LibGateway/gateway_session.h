#ifndef LIBGATEWAY_GATEWAY_SESSION_H_
#define LIBGATEWAY_GATEWAY_SESSION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "LibCore/life_guard.h"
#include "LibCore/names.h"
#include "LibCore/scheduler.h"
#include "LibDirectory/route_table.h"
#include "LibDispatch/caller_transaction.h"
#include "LibDispatch/group_access.h"
#include "LibGateway/caller_channel.h"
#include "LibStatement/caller_statement.h"
#include "LibStatement/session_record.h"

namespace kingcupmill {

// What a session needs of the proxy around it.
class SessionHost {
 public:
  virtual ~SessionHost() = default;
  // Returns the newest route of a database, or null.
  virtual const CallerRoute* FindRoute(std::string_view database) const = 0;
  // Returns the way to a group, or null while there is none.
  virtual GroupAccess* FindAccess(const GroupName& group) = 0;
  virtual Duration transaction_idle_limit() const = 0;
  // Whether a transaction may begin now.
  virtual bool takes_transactions() const = 0;
  // Whether a statement of the route may begin now.
  virtual bool takes_statement(const CallerRoute& route) const = 0;
  virtual void DidAnswerCaller(const CallerStatement& statement,
                               const StatementAnswer& answer,
                               TimePoint received_at) = 0;
};

// One caller's session: its values, its prepared statements, its transaction.
// Answers what needs no target by itself.
class GatewaySession {
 public:
  GatewaySession(Scheduler& scheduler,
                 SessionHost& host,
                 CallerChannel& channel,
                 std::string database,
                 uint64_t number);
  ~GatewaySession();

  // Takes the next statement. One is worked on at a time.
  void DidReceive(CallerStatement statement);

  // Tells this session from every other of the proxy.
  uint64_t number() const { return this->session_number; }

  // Whether nothing is under way, so that the session may be closed.
  bool is_at_rest() const;
  bool is_in_transaction() const { return this->state != SessionState::kIdle; }

  // Ends an open transaction that is not running a statement; the next answer
  // says so.
  void AbortTransaction(const char* reason);

  // Answers what is under way, since the process ends: as in doubt, or as
  // aborted within a transaction.
  void GiveUp();

 private:
  void Handle(const CallerStatement& statement);
  void HandleInTransaction(const CallerStatement& statement);
  void HandleOutsideTransaction(const CallerStatement& statement);
  bool HandleSessionStatement(const CallerStatement& statement);
  void RunSingle(const CallerStatement& statement, StatementAccess access);
  void StartTransaction(const CallerStatement& statement);
  void RunInTransaction(const CallerStatement& statement);
  void DidFinishSingle(WorkOutcome outcome);
  void DidStartTransaction(const CallerStatement& statement,
                           WorkOutcome outcome);
  void DidFinishInTransaction(TransactionStep step, StatementAnswer answer);
  std::optional<StatementAccess> AccessOf(
      const CallerStatement& statement) const;
  TargetCommand CommandFor(const CallerStatement& statement) const;
  // Returns the route when a statement of it may begin; else answers.
  const CallerRoute* UsableRoute();
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
  uint64_t session_number;
  std::shared_ptr<SessionRecord> record = std::make_shared<SessionRecord>();
  SessionState state = SessionState::kIdle;
  // The transaction is read-only, by the caller's word.
  bool is_read_only = false;
  std::unique_ptr<CallerTransaction> transaction;
  // The reason why a transaction was ended before the caller knows.
  std::optional<std::string> abort_reason;
  std::optional<LogPoint> last_commit;
  std::deque<CallerStatement> waiting;
  std::optional<CallerStatement> current;
  TimePoint received_at{};
  GroupAccess* work_group = nullptr;
  GroupAccess::WorkNumber work_number = 0;
  Scheduler::TimerId idle_timer = 0;
  LifeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBGATEWAY_GATEWAY_SESSION_H_
