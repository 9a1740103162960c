#ifndef LIBEMULATOR_CONSISTENCY_CHECKER_H_
#define LIBEMULATOR_CONSISTENCY_CHECKER_H_

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

// One commit in a target's log.
struct CommitEntry {
  LogPoint point;
  // The caller's attempt that wrote the commit.
  std::string attempt;
  friend bool operator==(const CommitEntry&, const CommitEntry&) = default;
};

// Observes what callers send and receive and what targets run, and records each
// violation of a guarantee.
class ConsistencyChecker {
 public:
  // A statement as its caller sent it.
  struct Sent {
    // All statements of a transaction have the same attempt.
    std::string attempt;
    std::string session;
    GroupName group;
    RouteKind kind = RouteKind::kPrimary;
    Duration maximum_staleness{};
    bool is_in_transaction = false;
    bool is_write = false;
    // When the statement was sent; in a transaction, when its BEGIN was sent.
    TimePoint sent_at{};
    SessionContext::Values values;
    // The last commit that the session received an acknowledgement for.
    std::optional<CommitEntry> own_commit;
    // The customer of the caller; not checked if it is empty.
    CustomerName customer = {};
  };

  // What a target ran for one statement.
  struct Run {
    std::string request_id;
    TargetName target;
    // Whether the connection was in a transaction before the statement.
    bool is_in_transaction = false;
    // The attempt of that transaction; empty before its first statement.
    std::string transaction_attempt;
    const SessionContext::Values* values = nullptr;
    const std::vector<CommitEntry>* log = nullptr;
    // The customer that the connection was opened under.
    CustomerName customer = {};
  };

  explicit ConsistencyChecker(std::function<TimePoint()> now)
      : now(std::move(now)) {}

  void DidSend(const std::string& request_id, Sent sent);
  // A target runs a statement or a commit. Returns the receipt.
  std::string DidRun(const Run& run);
  void DidCommit(const GroupName& group,
                 const TargetName& target,
                 const CommitEntry& entry);
  // The group acknowledges a commit only once a replica has it, so that no
  // promotion may discard it.
  void DidDeclareSynchronousReplicas(const GroupName& group) {
    this->synchronous_groups.insert(group);
  }
  // A promotion took effect; commits of the group that are not in `log` are
  // discarded.
  void DidPromote(const GroupName& group,
                  const TargetName& target,
                  const std::vector<CommitEntry>& log);
  // A caller received an answer to a commit or to a statement that runs at a
  // target.
  void DidAnswer(const std::string& request_id, const StatementAnswer& answer);
  // A caller was told that a write or commit succeeded.
  void DidAcknowledge(const std::string& attempt);
  // A caller was told that nothing of an attempt is committed.
  void DidReportNotCommitted(const std::string& attempt);

  // A running proxy closed a session before it answered a statement.
  void DidDropStatement(const std::string& request_id);

  // A target announced that it is leaving.
  void DidStartLeaving(const TargetName& target);
  void DidStopLeaving(const TargetName& target);
  // The longest time from such an announcement to a statement at the target.
  Duration longest_use_while_leaving() const {
    return this->longest_leaving_use;
  }

  // Returns the commit of an attempt, if there is one.
  std::optional<CommitEntry> CommitOf(const std::string& attempt) const;

  const std::vector<std::string>& violations() const {
    return this->found_violations;
  }
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

  void ReportViolation(const std::string& rule, const std::string& text);
  void CheckStaleness(const Sent& sent, const Run& run);

  std::function<TimePoint()> now;
  std::map<std::string, Sent> sent_by_request;
  std::map<std::string, std::set<std::string>> receipts_by_request;
  std::map<std::string, Committed> commit_by_attempt;
  // Acknowledged commits of each group, in order of acknowledgement.
  std::map<GroupName, std::vector<std::string>> acknowledged_by_group;
  std::map<GroupName, Leader> leaders;
  std::set<GroupName> synchronous_groups;
  std::set<std::string> reported_not_committed;
  std::map<TargetName, TimePoint> leaving_since;
  Duration longest_leaving_use{};
  std::vector<std::string> found_violations;
  uint64_t acknowledged_count = 0;
  uint64_t run_count = 0;
};

}  // namespace kingcupmill

#endif  // LIBEMULATOR_CONSISTENCY_CHECKER_H_
