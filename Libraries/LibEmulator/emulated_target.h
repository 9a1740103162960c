#ifndef LIBEMULATOR_EMULATED_TARGET_H_
#define LIBEMULATOR_EMULATED_TARGET_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibCore/names.h"
#include "LibCore/random_source.h"
#include "LibCore/scheduler.h"
#include "LibEmulator/consistency_checker.h"
#include "LibLink/target_command.h"
#include "LibStatement/statement_answer.h"

namespace kingcupmill {

// One connection at a target.
struct EmulatedSession {
  // The customer that it was opened under, if any.
  CustomerName customer;
  std::string owner;
  SessionContext::Values values;
  std::map<std::string, PreparedShape> prepared;
  SessionState state = SessionState::kIdle;
  bool is_read_only = false;
  std::string transaction_attempt;
  bool has_written = false;
  bool is_open = true;
  std::deque<TargetCommand> commands;
  bool is_busy = false;
  // Called with the answer to each command, in order.
  std::function<void(StatementAnswer)> did_answer;
  // How many entries the log had after the commit of the last command; nothing
  // if that committed nothing.
  std::optional<size_t> committed_length;
};

// How a target answers status commands.
enum class EmulatedStatusFault { kNone, kSlow, kBusy, kSilent };

// A stand-in for one database server with a log, a role and sessions. It is
// declared with two slots.
class EmulatedTarget {
 public:
  EmulatedTarget(Scheduler& scheduler,
                 ConsistencyChecker& checker,
                 GroupName group,
                 TargetName name,
                 uint64_t seed);

  const TargetName& name() const { return this->target_name; }
  bool is_running() const { return this->running; }
  bool is_primary() const { return this->running && this->leads; }
  Term term() const { return this->current_term; }
  const std::vector<CommitEntry>& log() const { return this->entries; }
  LogPoint position() const;

  // Ends every session. The log survives.
  void Crash();
  void Start();
  // Starts as a replica without a log.
  void StartEmpty();
  bool has_lost_log() const { return this->did_lose_log; }

  // Multiplies the time that each later statement takes.
  void SetSlowdown(int factor) { this->slowdown = factor; }
  void SetStatusFault(EmulatedStatusFault fault) { this->status_fault = fault; }

  // Commits are answered only once that many entries of the log are known to
  // be held by enough replicas.
  void RequireReplicas() { this->has_synchronous_replicas = true; }
  void DidReplicate(size_t length);

  void Lead(Term term);
  void StepDown(Term term);

  // Truncates the log where it diverges from `source`, then copies from
  // `source` until the log has `count` entries.
  void CopyLog(const std::vector<CommitEntry>& source, size_t count, Term term);

  // Returns null when the target is down or at its session limit.
  std::shared_ptr<EmulatedSession> OpenSession(CustomerName customer = {});
  void CloseSession(const std::shared_ptr<EmulatedSession>& session);
  void Submit(const std::shared_ptr<EmulatedSession>& session,
              TargetCommand command);

  size_t session_count() const { return this->sessions.size(); }
  size_t peak_sessions() const { return this->peak_session_count; }
  // The connections that were refused because of the session limit.
  size_t refused_sessions() const { return this->refused_session_count; }

  static constexpr size_t kMaximumSessions = 16;

 private:
  void RunNext(const std::shared_ptr<EmulatedSession>& session);
  void Run(const std::shared_ptr<EmulatedSession>& session);
  void Answer(const std::shared_ptr<EmulatedSession>& session,
              StatementAnswer answer);
  Duration DelayOf(const TargetCommand& command);
  StatementAnswer Execute(EmulatedSession& session,
                          const TargetCommand& command);
  StatementAnswer Begin(EmulatedSession& session, const TargetCommand& command);
  StatementAnswer RunStatement(EmulatedSession& session,
                               const TargetCommand& command);
  StatementAnswer Commit(EmulatedSession& session,
                         const TargetCommand& command);
  StatementAnswer Refuse(EmulatedSession& session, StatementErrorCode code);
  StatementAnswer Success(const EmulatedSession& session) const;
  std::string RecordRun(EmulatedSession& session,
                        const std::string& request_id);
  void Append(EmulatedSession& session, const std::string& attempt);
  bool has(const LogPoint& point) const;

  Scheduler& scheduler;
  ConsistencyChecker& checker;
  GroupName group;
  TargetName target_name;
  SeededRandom random;
  bool running = true;
  bool leads = false;
  bool did_lose_log = false;
  int slowdown = 1;
  EmulatedStatusFault status_fault = EmulatedStatusFault::kNone;
  bool has_synchronous_replicas = false;
  // An answer to a commit that too few replicas hold.
  struct UnreplicatedCommit {
    std::shared_ptr<EmulatedSession> session;
    StatementAnswer answer;
    size_t length = 0;
  };
  std::vector<UnreplicatedCommit> unreplicated;
  Term current_term{1};
  std::vector<CommitEntry> entries;
  std::set<std::shared_ptr<EmulatedSession>> sessions;
  size_t peak_session_count = 0;
  size_t refused_session_count = 0;
};

}  // namespace kingcupmill

#endif  // LIBEMULATOR_EMULATED_TARGET_H_
