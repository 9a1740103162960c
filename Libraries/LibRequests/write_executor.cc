#include "LibRequests/write_executor.h"

#include <algorithm>
#include <utility>

#include "LibCore/decision_log.h"
#include "LibCore/verify.h"
#include "LibRequests/group_monitor.h"

namespace kingcupmill {

namespace {

constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(2);
constexpr Duration kLongestRetryDelay = std::chrono::milliseconds(20);
// A target's queue rejects work that cannot meet its deadline. The client is
// told to retry after the time in which a full queue usually empties.
constexpr Duration kRetryAfterOverload = std::chrono::milliseconds(250);

}  // namespace

struct WriteExecutor::PendingWrite {
  ClientRequest request;
  uint64_t digest = 0;
  TimePoint deadline;
  Reply reply;
  Duration retry_delay = kFirstRetryDelay;
  PrimaryView primary;
  // Whether an earlier attempt may have run.
  bool may_have_run = false;
  // False when only the request id is known, as for a kGetOutcome request.
  bool is_digest_known = true;
};

WriteExecutor::WriteExecutor(Scheduler& scheduler,
                             GroupMonitor& monitor,
                             const DecisionLog& log,
                             const GroupOptions& options)
    : scheduler(scheduler), monitor(monitor), log(log), options(options) {}

WriteExecutor::~WriteExecutor() = default;

void WriteExecutor::Execute(ClientRequest request, Reply reply) {
  auto write = std::make_shared<PendingWrite>();
  write->deadline = this->scheduler.Now() + request.time_left;
  write->digest = DigestOf(request.statement);
  write->request = std::move(request);
  write->reply = std::move(reply);
  this->Attempt(write);
}

void WriteExecutor::ResolveOutcome(ClientRequest request, Reply reply) {
  auto write = std::make_shared<PendingWrite>();
  write->deadline = this->scheduler.Now() + request.time_left;
  write->request = std::move(request);
  write->reply = std::move(reply);
  write->is_digest_known = false;
  write->may_have_run = true;
  this->AttemptResolve(write);
}

void WriteExecutor::ResolveCommit(const RequestId& id,
                                  uint64_t digest,
                                  TimePoint deadline,
                                  const ApplicationName& application,
                                  Reply reply) {
  auto write = std::make_shared<PendingWrite>();
  write->deadline = deadline;
  write->digest = digest;
  write->request.request_id = id;
  write->request.application = application;
  write->reply = std::move(reply);
  write->may_have_run = true;
  this->AttemptResolve(write);
}

std::vector<Statement> WriteExecutor::StatementsFor(
    const ClientRequest& request) const {
  if (!this->options.is_enabled(Safeguard::kLedger))
    return {request.statement};
  return WriteWithLedgerRecord(request.request_id, request.statement);
}

void WriteExecutor::Attempt(const PendingWritePointer& write) {
  const TimePoint now = this->scheduler.Now();
  if (now >= write->deadline) {
    // A write that may have run must not be reported as not run without proof.
    if (write->may_have_run)
      return this->AttemptResolve(write);
    return this->Finish(write,
                        NotRun(ClientError::kUnavailable,
                               "no confirmed primary before the deadline"));
  }
  const auto primary =
      WriteAdmission(this->options.admission).Admit(now, this->monitor.view());
  if (!primary)
    return this->RetryLater(write, &WriteExecutor::Attempt);
  write->primary = *primary;
  if (this->log.is_enabled(DecisionLog::Frequency::kPerRequest)) {
    this->log.Write(DecisionLog::Frequency::kPerRequest, "route_write",
                    this->options.group.value, primary->target.value,
                    primary->target.value,
                    "primary of term " + std::to_string(primary->term.value));
  }
  TargetPool::Work work;
  work.request.operation = TargetOperation::kWrite;
  work.request.term = primary->term;
  work.request.acknowledge =
      this->options.is_enabled(Safeguard::kMajorityAcknowledgement)
          ? this->options.acknowledge
          : Acknowledge::kPrimary;
  work.request.statements = this->StatementsFor(write->request);
  work.did_finish = [this, write](SubmitOutcome outcome, TargetPool::PinId) {
    this->DidAttempt(write, std::move(outcome));
  };
  this->monitor.pool(primary->target)
      .Submit(write->request.application, write->request.priority,
              write->deadline, std::move(work));
}

void WriteExecutor::DidAttempt(const PendingWritePointer& write,
                               SubmitOutcome outcome) {
  if (const auto* failure = std::get_if<SubmitFailure>(&outcome)) {
    if (*failure == SubmitFailure::kLost)
      return this->DidLoseResponse(write);
    if (*failure == SubmitFailure::kNoConnection || write->may_have_run)
      return this->RetryLater(write, &WriteExecutor::Attempt);
    ClientAnswer answer =
        NotRun(ClientError::kOverloaded, "the write cannot meet its deadline");
    answer.retry_after = kRetryAfterOverload;
    return this->Finish(write, std::move(answer));
  }
  TargetResponse& response = std::get<TargetResponse>(outcome);
  if (response.error != TargetErrorCode::kNone)
    return this->DidFail(write, response);
  ClientAnswer answer;
  answer.outcome = Outcome::kRan;
  const size_t index = response.results.size() == 1 ? 0 : 1;
  KINGCUPMILL_VERIFY(index < response.results.size());
  answer.result = std::move(response.results[index]);
  answer.point = response.point;
  answer.target = write->primary.target;
  answer.is_from_primary = true;
  this->Finish(write, std::move(answer));
}

void WriteExecutor::DidFail(const PendingWritePointer& write,
                            const TargetResponse& response) {
  switch (response.error) {
    case TargetErrorCode::kNotPrimary:
    case TargetErrorCode::kTermSuperseded:
    case TargetErrorCode::kWritesHeld:
    case TargetErrorCode::kBusy:
      return this->RetryLater(write, &WriteExecutor::Attempt);
    case TargetErrorCode::kUnconfirmed:
      return this->DidLoseResponse(write);
    case TargetErrorCode::kConstraint:
      // The ledger already has this request id, from an earlier attempt.
      if (response.failed_statement == 0 &&
          this->options.is_enabled(Safeguard::kLedger)) {
        return this->AttemptResolve(write);
      }
      [[fallthrough]];
    default:
      // An earlier attempt may have run even though this one did not.
      if (write->may_have_run)
        return this->AttemptResolve(write);
      return this->Finish(write,
                          NotRun(ClientError::kSqlError, response.message));
  }
}

void WriteExecutor::DidLoseResponse(const PendingWritePointer& write) {
  write->may_have_run = true;
  const bool is_repeatable =
      write->request.repeatability == Repeatability::kRepeatable;
  if (is_repeatable || !this->options.is_enabled(Safeguard::kLedger))
    return this->RetryLater(write, &WriteExecutor::Attempt);
  this->AttemptResolve(write);
}

void WriteExecutor::AttemptResolve(const PendingWritePointer& write) {
  const TimePoint now = this->scheduler.Now();
  if (now >= write->deadline) {
    ClientAnswer answer;
    answer.outcome = Outcome::kUnknown;
    answer.error = ClientError::kOutcomeUnknown;
    answer.message = "the outcome was not settled before the deadline";
    return this->Finish(write, std::move(answer));
  }
  if (!this->options.is_enabled(Safeguard::kTombstone)) {
    return this->Finish(write, NotRun(ClientError::kUnavailable,
                                      "the answer of the target was lost"));
  }
  const auto primary =
      WriteAdmission(this->options.admission).Admit(now, this->monitor.view());
  if (!primary)
    return this->RetryLater(write, &WriteExecutor::AttemptResolve);
  write->primary = *primary;
  TargetPool::Work work;
  work.request.operation = TargetOperation::kWrite;
  work.request.term = primary->term;
  work.request.statements = InsertTombstoneAndRead(write->request.request_id);
  work.did_finish = [this, write](SubmitOutcome outcome, TargetPool::PinId) {
    this->DidResolve(write, std::move(outcome));
  };
  // The request is urgent, because its client has already waited for a first
  // attempt.
  this->monitor.pool(primary->target)
      .Submit(write->request.application, Priority::kUrgent, write->deadline,
              std::move(work));
}

void WriteExecutor::DidResolve(const PendingWritePointer& write,
                               SubmitOutcome outcome) {
  const auto* response = std::get_if<TargetResponse>(&outcome);
  if (!response || response->error != TargetErrorCode::kNone)
    return this->RetryLater(write, &WriteExecutor::AttemptResolve);
  const auto entry = ParseLedgerEntry(response->results.back());
  if (!entry)
    return this->RetryLater(write, &WriteExecutor::AttemptResolve);
  this->AnswerFromLedger(write, *entry, *response);
}

void WriteExecutor::AnswerFromLedger(const PendingWritePointer& write,
                                     const LedgerEntry& entry,
                                     const TargetResponse& response) {
  if (entry.state == LedgerEntry::State::kTombstone) {
    return this->Finish(write,
                        NotRun(ClientError::kUnavailable,
                               "settled: the request will never run under "
                               "this id"));
  }
  if (write->is_digest_known && entry.digest != write->digest) {
    return this->Finish(write,
                        NotRun(ClientError::kRequestIdReused,
                               "the request id belongs to another request"));
  }
  ClientAnswer answer;
  answer.outcome = Outcome::kRan;
  answer.is_replayed = true;
  answer.result.rows_affected = entry.rows_affected;
  answer.point = response.point;
  answer.target = write->primary.target;
  answer.is_from_primary = true;
  this->Finish(write, std::move(answer));
}

void WriteExecutor::RetryLater(const PendingWritePointer& write, Step step) {
  const Duration delay = write->retry_delay;
  write->retry_delay = std::min(delay * 2, kLongestRetryDelay);
  this->scheduler.PostAfter(
      delay, this->life.Wrap([this, write, step] { (this->*step)(write); }));
}

void WriteExecutor::Finish(const PendingWritePointer& write,
                           ClientAnswer answer) {
  answer.request_id = write->request.request_id;
  KINGCUPMILL_VERIFY(write->reply);
  std::exchange(write->reply, nullptr)(std::move(answer));
}

}  // namespace kingcupmill
