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
#include "LibEmulator/promise_checker.h"
#include "LibLink/target_command.h"
#include "LibStatement/statement_answer.h"

namespace kingcupmill {

// One connection at a target.
struct EmulatedSession {
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
  // The answer to the oldest command.
  std::function<void(StatementAnswer)> did_answer;
};

// A small stand-in for one database server: a log, a role, two slots, sessions.
class EmulatedTarget {
 public:
  EmulatedTarget(Scheduler& scheduler,
                 PromiseChecker& checker,
                 GroupName group,
                 TargetName name,
                 uint64_t seed);

  const TargetName& name() const { return this->target_name; }
  bool is_running() const { return this->running; }
  bool is_primary() const { return this->running && this->leads; }
  Term term() const { return this->current_term; }
  const std::vector<CommitEntry>& log() const { return this->entries; }
  LogPoint position() const;

  // A crash ends every session; the log stays.
  void Crash();
  void Start();

  // Statements take this many times as long from now on.
  void SetSlowdown(int factor) { this->slowdown = factor; }

  void Lead(Term term);
  void StepDown(Term term);

  // Takes what it lacks of `source`; what the source does not have is dropped.
  void CopyLog(const std::vector<CommitEntry>& source, size_t count, Term term);

  // Returns null when it has as many sessions as it takes.
  std::shared_ptr<EmulatedSession> OpenSession();
  void CloseSession(const std::shared_ptr<EmulatedSession>& session);
  void Submit(const std::shared_ptr<EmulatedSession>& session,
              TargetCommand command);

  size_t session_count() const { return this->sessions.size(); }
  size_t most_sessions() const { return this->most_sessions_seen; }
  // Connections that were turned away since there were too many.
  size_t refused_sessions() const { return this->refused_session_count; }

  static constexpr size_t kMaximumSessions = 16;

 private:
  void Next(const std::shared_ptr<EmulatedSession>& session);
  StatementAnswer Execute(EmulatedSession& session,
                          const TargetCommand& command);
  StatementAnswer Begin(EmulatedSession& session, const TargetCommand& command);
  StatementAnswer RunStatement(EmulatedSession& session,
                               const TargetCommand& command);
  StatementAnswer Commit(EmulatedSession& session,
                         const TargetCommand& command);
  StatementAnswer Refuse(EmulatedSession& session, StatementErrorCode code);
  StatementAnswer Done(const EmulatedSession& session) const;
  std::string RunChecked(EmulatedSession& session,
                         const std::string& request_id);
  void Append(const std::string& attempt);
  bool has(const LogPoint& point) const;

  Scheduler& scheduler;
  PromiseChecker& checker;
  GroupName group;
  TargetName target_name;
  SeededRandom random;
  bool running = true;
  bool leads = false;
  int slowdown = 1;
  Term current_term{1};
  std::vector<CommitEntry> entries;
  std::set<std::shared_ptr<EmulatedSession>> sessions;
  size_t most_sessions_seen = 0;
  size_t refused_session_count = 0;
};

}  // namespace kingcupmill

#endif  // LIBEMULATOR_EMULATED_TARGET_H_
