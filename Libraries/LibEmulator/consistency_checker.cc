#include "LibEmulator/consistency_checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace kingcupmill {

namespace {

bool Contains(const std::vector<CommitEntry>& log, const CommitEntry& entry) {
  const uint64_t number = entry.point.position.value;
  return number >= 1 && number <= log.size() && log[number - 1] == entry;
}

}  // namespace

void ConsistencyChecker::ReportViolation(const std::string& rule,
                                         const std::string& text) {
  this->found_violations.push_back(
      fmt::format("{} at {} ms: {}", rule,
                  ToMilliseconds(this->now().time_since_epoch()), text));
}

void ConsistencyChecker::DidSend(const std::string& request_id, Sent sent) {
  this->sent_by_request.insert_or_assign(request_id, std::move(sent));
}

void ConsistencyChecker::DidStartLeaving(const TargetName& target) {
  this->leaving_since.emplace(target, this->now());
}

void ConsistencyChecker::DidStopLeaving(const TargetName& target) {
  this->leaving_since.erase(target);
}

std::string ConsistencyChecker::DidRun(const Run& run) {
  ++this->run_count;
  if (const auto leaving = this->leaving_since.find(run.target);
      leaving != this->leaving_since.end())
    this->longest_leaving_use =
        std::max(this->longest_leaving_use, this->now() - leaving->second);
  const auto found = this->sent_by_request.find(run.request_id);
  if (found == this->sent_by_request.end()) {
    this->ReportViolation("UNASKED", run.request_id + " was never sent");
    return "none";
  }
  const Sent& sent = found->second;
  if (run.is_in_transaction != sent.is_in_transaction)
    this->ReportViolation("PINNED",
                          run.request_id + " ran on the wrong side of a BEGIN");
  if (run.is_in_transaction && !run.transaction_attempt.empty() &&
      run.transaction_attempt != sent.attempt)
    this->ReportViolation("PINNED", run.request_id +
                                        " ran inside the transaction " +
                                        run.transaction_attempt);
  if (*run.values != sent.values)
    this->ReportViolation("PINNED",
                          run.request_id + " ran with other session values");
  if (!sent.customer.value.empty() && run.customer != sent.customer)
    this->ReportViolation(
        "CUSTOMER",
        fmt::format("{} of {} ran on a connection of {}", run.request_id,
                    sent.customer.value, run.customer.value));
  this->CheckStaleness(sent, run);
  std::string receipt = fmt::format("{}@{}#{}", run.request_id,
                                    run.target.value, this->run_count);
  this->receipts_by_request[run.request_id].insert(receipt);
  return receipt;
}

void ConsistencyChecker::CheckStaleness(const Sent& sent, const Run& run) {
  const TimePoint bound = sent.kind == RouteKind::kPrimary
                              ? sent.sent_at
                              : sent.sent_at - sent.maximum_staleness;
  const auto& acknowledged = this->acknowledged_by_group[sent.group];
  for (auto attempt = acknowledged.rbegin(); attempt != acknowledged.rend();
       ++attempt) {
    const Committed& commit = this->commit_by_attempt.at(*attempt);
    if (commit.is_discarded || *commit.acknowledged_at >= bound)
      continue;
    if (!Contains(*run.log, commit.entry))
      this->ReportViolation(
          "STALE",
          fmt::format("{} at {} lacks {} ({}.{}) acknowledged {} ms "
                      "before it was sent",
                      run.request_id, run.target.value, *attempt,
                      commit.entry.point.term.value,
                      commit.entry.point.position.value,
                      ToMilliseconds(sent.sent_at - *commit.acknowledged_at)));
    break;
  }
  if (!sent.own_commit)
    return;
  const auto own = this->commit_by_attempt.find(sent.own_commit->attempt);
  const bool is_kept =
      own != this->commit_by_attempt.end() && !own->second.is_discarded;
  if (is_kept && sent.kind == RouteKind::kReadYourWrites &&
      !Contains(*run.log, own->second.entry))
    this->ReportViolation(
        "STALE",
        fmt::format("{} at {} lacks the session's own {}", run.request_id,
                    run.target.value, sent.own_commit->attempt));
}

void ConsistencyChecker::DidCommit(const GroupName& group,
                                   const TargetName& target,
                                   const CommitEntry& entry) {
  const auto known = this->commit_by_attempt.find(entry.attempt);
  if (known != this->commit_by_attempt.end()) {
    if (!known->second.is_discarded)
      this->ReportViolation("TWICE", entry.attempt + " was committed twice");
    ++known->second.times;
    return;
  }
  Committed commit;
  commit.entry = entry;
  commit.group = group;
  commit.target = target;
  commit.at = this->now();
  if (this->reported_not_committed.contains(entry.attempt))
    this->ReportViolation("REFUSED",
                          entry.attempt + " was committed after a promise");
  this->commit_by_attempt.emplace(entry.attempt, std::move(commit));
}

void ConsistencyChecker::DidPromote(const GroupName& group,
                                    const TargetName& target,
                                    const std::vector<CommitEntry>& log) {
  this->leaders[group] = Leader{target, this->now()};
  size_t lost = 0;
  std::string example;
  for (auto& [attempt, commit] : this->commit_by_attempt) {
    if (commit.group != group || commit.is_discarded ||
        Contains(log, commit.entry))
      continue;
    commit.is_discarded = true;
    if (!commit.acknowledged_at)
      continue;
    ++lost;
    example = attempt;
  }
  if (lost > 0 && this->synchronous_groups.contains(group))
    this->ReportViolation(
        "LOST", fmt::format("{} was promoted without {} acknowledged commits, "
                            "one of them {}",
                            target.value, lost, example));
}

void ConsistencyChecker::DidAnswer(const std::string& request_id,
                                   const StatementAnswer& answer) {
  if (answer.error)
    return;
  // A read may run more than once, and each run has its own receipt.
  const auto receipts = this->receipts_by_request.find(request_id);
  const bool is_own = receipts != this->receipts_by_request.end() &&
                      receipts->second.contains(answer.receipt);
  if (!is_own)
    this->ReportViolation(
        "MIXED",
        request_id + " was answered with the receipt " + answer.receipt);
}

void ConsistencyChecker::DidAcknowledge(const std::string& attempt) {
  const auto found = this->commit_by_attempt.find(attempt);
  if (found == this->commit_by_attempt.end())
    return;
  Committed& commit = found->second;
  ++this->acknowledged_count;
  commit.acknowledged_at = this->now();
  this->acknowledged_by_group[commit.group].push_back(attempt);
  if (commit.is_discarded && this->synchronous_groups.contains(commit.group))
    this->ReportViolation(
        "LOST", attempt + " was acknowledged after a promotion discarded it");
  const auto leader = this->leaders.find(commit.group);
  if (leader != this->leaders.end() && leader->second.since < commit.at &&
      leader->second.target != commit.target)
    this->ReportViolation(
        "ONE",
        fmt::format("{} was committed at {} and acknowledged, "
                    "though {} had taken over",
                    attempt, commit.target.value, leader->second.target.value));
}

void ConsistencyChecker::DidReportNotCommitted(const std::string& attempt) {
  this->reported_not_committed.insert(attempt);
  const auto commit = this->commit_by_attempt.find(attempt);
  if (commit != this->commit_by_attempt.end() && !commit->second.is_discarded)
    this->ReportViolation("REFUSED", attempt + " had been committed");
}

void ConsistencyChecker::DidDropStatement(const std::string& request_id) {
  this->ReportViolation("LOST", request_id + " was cut off without an answer");
}

std::optional<CommitEntry> ConsistencyChecker::CommitOf(
    const std::string& attempt) const {
  const auto found = this->commit_by_attempt.find(attempt);
  if (found == this->commit_by_attempt.end())
    return std::nullopt;
  return found->second.entry;
}

}  // namespace kingcupmill
