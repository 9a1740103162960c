#ifndef LIBEMULATOR_PROMISE_CHECKER_H_
#define LIBEMULATOR_PROMISE_CHECKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibCore/names.h"
#include "LibCore/time.h"
#include "LibDirectory/route_table.h"
#include "LibStatement/session_context.h"
#include "LibStatement/statement_answer.h"

namespace kingcupmill {

// One commit in the log of a target.
struct CommitEntry {
  LogPoint point;
  // The callers' attempt that wrote it.
  std::string attempt;
  friend bool operator==(const CommitEntry&, const CommitEntry&) = default;
};

// Sees what callers send and are told and what targets run, and records each
// promise that is broken.
class PromiseChecker {
 public:
  // One statement as its caller sent it.
  struct Sent {
    // Statements of one transaction share an attempt.
    std::string attempt;
    std::string session;
    GroupName group;
    RouteKind kind = RouteKind::kPrimary;
    Duration maximum_staleness{};
    bool is_in_transaction = false;
    bool is_write = false;
    // When the statement, or its transaction, was sent.
    TimePoint sent_at{};
    SessionContext::Values values;
    // The last commit that this session was told of.
    std::optional<CommitEntry> own_commit;
  };

  // What a target did for one statement.
  struct Run {
    std::string request_id;
    TargetName target;
    // The connection's transaction before the statement; empty outside.
    bool is_in_transaction = false;
    // The attempt of the connection's transaction so far.
    std::string transaction_attempt;
    const SessionContext::Values* values = nullptr;
    const std::vector<CommitEntry>* log = nullptr;
  };

  explicit PromiseChecker(std::function<TimePoint()> now)
      : now(std::move(now)) {}

  void DidSend(const std::string& request_id, Sent sent);
  // A target runs a read or a write. Returns the receipt.
  std::string DidRun(const Run& run);
  void DidCommit(const GroupName& group,
                 const TargetName& target,
                 const CommitEntry& entry);
  // A promotion took effect: only `log` is left.
  void DidPromote(const GroupName& group,
                  const TargetName& target,
                  const std::vector<CommitEntry>& log);
  // A caller got an answer to a statement that ran at a target, or to a commit.
  void DidAnswer(const std::string& request_id, const StatementAnswer& answer);
  // A caller was told that a write or commit succeeded.
  void DidAcknowledge(const std::string& attempt);
  // A caller was promised that nothing of an attempt is kept.
  void DidPromiseNothingKept(const std::string& attempt);

  // A proxy that was not lost ended a session before it answered a statement.
  void DidCut(const std::string& request_id);

  // A target has said that it is leaving.
  void DidStartLeaving(const TargetName& target);
  void DidStopLeaving(const TargetName& target);
  // How long after that a statement last ran at a leaving target.
  Duration longest_use_of_leaving() const { return this->longest_leaving_use; }

  // Returns the newest commit of an attempt, if there is one.
  std::optional<CommitEntry> CommitOf(const std::string& attempt) const;

  const std::vector<std::string>& violations() const { return this->broken; }
  uint64_t acknowledged() const { return this->acknowledged_count; }
  uint64_t runs() const { return this->run_count; }

 private:
  struct Committed {
    CommitEntry entry;
    GroupName group;
    TargetName target;
    TimePoint at{};
    std::optional<TimePoint> acknowledged_at;
    bool is_discarded = false;
    int times = 1;
  };
  struct Leader {
    TargetName target;
    TimePoint since{};
  };

  void Break(const std::string& rule, const std::string& text);
  void CheckFreshness(const Sent& sent, const Run& run);

  std::function<TimePoint()> now;
  std::map<std::string, Sent> sent_by_request;
  std::map<std::string, std::set<std::string>> receipts_by_request;
  std::map<std::string, Committed> commit_by_attempt;
  // Acknowledged commits of each group in the order of acknowledgement.
  std::map<GroupName, std::vector<std::string>> acknowledged_by_group;
  std::map<GroupName, Leader> leaders;
  std::set<std::string> promised;
  std::map<TargetName, TimePoint> leaving_since;
  Duration longest_leaving_use{};
  std::vector<std::string> broken;
  uint64_t acknowledged_count = 0;
  uint64_t run_count = 0;
};

}  // namespace kingcupmill

#endif  // LIBEMULATOR_PROMISE_CHECKER_H_
