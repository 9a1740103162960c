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
// The queue of a target refuses what cannot meet its deadline; the retry hint
// is the time in which a full queue usually drains.
constexpr Duration kRetryAfterOverload = std::chrono::milliseconds(250);

}  // namespace

struct WriteExecutor::Flow {
  ClientRequest request;
  uint64_t digest = 0;
  TimePoint deadline;
  Reply reply;
  Duration retry_delay = kFirstRetryDelay;
  PrimaryView primary;
  // Whether an earlier attempt may have run.
  bool is_unsure = false;
  // Whether only the request id is known, as when its fate is asked.
  bool is_digest_known = true;
};

WriteExecutor::WriteExecutor(Scheduler& scheduler,
                             GroupMonitor& monitor,
                             const DecisionLog& log,
                             const GroupOptions& options)
    : scheduler(scheduler), monitor(monitor), log(log), options(options) {}

WriteExecutor::~WriteExecutor() = default;

void WriteExecutor::Execute(ClientRequest request, Reply reply) {
  auto flow = std::make_shared<Flow>();
  flow->deadline = this->scheduler.Now() + request.time_left;
  flow->digest = DigestOf(request.statement);
  flow->request = std::move(request);
  flow->reply = std::move(reply);
  this->Attempt(flow);
}

void WriteExecutor::Settle(ClientRequest request, Reply reply) {
  auto flow = std::make_shared<Flow>();
  flow->deadline = this->scheduler.Now() + request.time_left;
  flow->request = std::move(request);
  flow->reply = std::move(reply);
  flow->is_digest_known = false;
  flow->is_unsure = true;
  this->SettleAttempt(flow);
}

void WriteExecutor::SettleCommit(const RequestId& id,
                                 uint64_t digest,
                                 TimePoint deadline,
                                 const ApplicationName& application,
                                 Reply reply) {
  auto flow = std::make_shared<Flow>();
  flow->deadline = deadline;
  flow->digest = digest;
  flow->request.request_id = id;
  flow->request.application = application;
  flow->reply = std::move(reply);
  flow->is_unsure = true;
  this->SettleAttempt(flow);
}

std::vector<Statement> WriteExecutor::StatementsFor(
    const ClientRequest& request) const {
  if (!this->options.is_enabled(Guard::kLedger))
    return {request.statement};
  return LedgeredWrite(request.request_id, request.statement);
}

void WriteExecutor::Attempt(const FlowPointer& flow) {
  const TimePoint now = this->scheduler.Now();
  if (now >= flow->deadline) {
    // A write that may have run is never called not run without proof.
    if (flow->is_unsure)
      return this->SettleAttempt(flow);
    return this->Finish(flow,
                        NotRun(ClientError::kUnavailable,
                               "no confirmed primary before the deadline"));
  }
  const auto primary =
      WriteAdmission(this->options.admission).Admit(now, this->monitor.view());
  if (!primary)
    return this->RetryLater(flow, &WriteExecutor::Attempt);
  flow->primary = *primary;
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
      this->options.is_enabled(Guard::kMajorityAcknowledgement)
          ? this->options.acknowledge
          : Acknowledge::kPrimary;
  work.request.statements = this->StatementsFor(flow->request);
  work.did_finish = [this, flow](SubmitOutcome outcome, TargetPool::PinId) {
    this->DidAttempt(flow, std::move(outcome));
  };
  this->monitor.pool(primary->target)
      .Submit(flow->request.application, flow->request.priority, flow->deadline,
              std::move(work));
}

void WriteExecutor::DidAttempt(const FlowPointer& flow, SubmitOutcome outcome) {
  if (const auto* failure = std::get_if<SubmitFailure>(&outcome)) {
    if (*failure == SubmitFailure::kLost)
      return this->DidLose(flow);
    if (*failure == SubmitFailure::kNoConnection || flow->is_unsure)
      return this->RetryLater(flow, &WriteExecutor::Attempt);
    ClientAnswer answer =
        NotRun(ClientError::kOverloaded, "the write cannot meet its deadline");
    answer.retry_after = kRetryAfterOverload;
    return this->Finish(flow, std::move(answer));
  }
  TargetResponse& response = std::get<TargetResponse>(outcome);
  if (response.error != TargetErrorCode::kNone)
    return this->DidFail(flow, response);
  ClientAnswer answer;
  answer.outcome = Outcome::kRan;
  const size_t index = response.results.size() == 1 ? 0 : 1;
  KINGCUPMILL_VERIFY(index < response.results.size());
  answer.result = std::move(response.results[index]);
  answer.point = response.point;
  answer.target = flow->primary.target;
  answer.is_from_primary = true;
  this->Finish(flow, std::move(answer));
}

void WriteExecutor::DidFail(const FlowPointer& flow,
                            const TargetResponse& response) {
  switch (response.error) {
    case TargetErrorCode::kNotPrimary:
    case TargetErrorCode::kTermSuperseded:
    case TargetErrorCode::kHeld:
    case TargetErrorCode::kBusy:
      return this->RetryLater(flow, &WriteExecutor::Attempt);
    case TargetErrorCode::kUnconfirmed:
      return this->DidLose(flow);
    case TargetErrorCode::kConstraint:
      // The ledger has this request id: another attempt was there first.
      if (response.failed_statement == 0 &&
          this->options.is_enabled(Guard::kLedger)) {
        return this->SettleAttempt(flow);
      }
      [[fallthrough]];
    default:
      // An earlier attempt may have run even though this one did not.
      if (flow->is_unsure)
        return this->SettleAttempt(flow);
      return this->Finish(flow,
                          NotRun(ClientError::kSqlError, response.message));
  }
}

void WriteExecutor::DidLose(const FlowPointer& flow) {
  flow->is_unsure = true;
  const bool is_repeatable =
      flow->request.repeatability == Repeatability::kRepeatable;
  if (is_repeatable || !this->options.is_enabled(Guard::kLedger))
    return this->RetryLater(flow, &WriteExecutor::Attempt);
  this->SettleAttempt(flow);
}

void WriteExecutor::SettleAttempt(const FlowPointer& flow) {
  const TimePoint now = this->scheduler.Now();
  if (now >= flow->deadline) {
    ClientAnswer answer;
    answer.outcome = Outcome::kUnknown;
    answer.error = ClientError::kOutcomeUnknown;
    answer.message = "the outcome was not settled before the deadline";
    return this->Finish(flow, std::move(answer));
  }
  if (!this->options.is_enabled(Guard::kTombstone)) {
    return this->Finish(flow, NotRun(ClientError::kUnavailable,
                                     "the answer of the target was lost"));
  }
  const auto primary =
      WriteAdmission(this->options.admission).Admit(now, this->monitor.view());
  if (!primary)
    return this->RetryLater(flow, &WriteExecutor::SettleAttempt);
  flow->primary = *primary;
  TargetPool::Work work;
  work.request.operation = TargetOperation::kWrite;
  work.request.term = primary->term;
  work.request.statements = TombstoneAndRead(flow->request.request_id);
  work.did_finish = [this, flow](SubmitOutcome outcome, TargetPool::PinId) {
    this->DidSettle(flow, std::move(outcome));
  };
  // Settling comes first: a caller waits who has already waited once.
  this->monitor.pool(primary->target)
      .Submit(flow->request.application, Priority::kUrgent, flow->deadline,
              std::move(work));
}

void WriteExecutor::DidSettle(const FlowPointer& flow, SubmitOutcome outcome) {
  const auto* response = std::get_if<TargetResponse>(&outcome);
  if (!response || response->error != TargetErrorCode::kNone)
    return this->RetryLater(flow, &WriteExecutor::SettleAttempt);
  const auto entry = ParseLedgerEntry(response->results.back());
  if (!entry)
    return this->RetryLater(flow, &WriteExecutor::SettleAttempt);
  this->AnswerFromLedger(flow, *entry, *response);
}

void WriteExecutor::AnswerFromLedger(const FlowPointer& flow,
                                     const LedgerEntry& entry,
                                     const TargetResponse& response) {
  if (entry.state == LedgerEntry::State::kTombstone) {
    return this->Finish(flow,
                        NotRun(ClientError::kUnavailable,
                               "settled: the request will never run under "
                               "this id"));
  }
  if (flow->is_digest_known && entry.digest != flow->digest) {
    return this->Finish(flow,
                        NotRun(ClientError::kRequestIdReused,
                               "the request id belongs to another request"));
  }
  ClientAnswer answer;
  answer.outcome = Outcome::kRan;
  answer.is_replayed = true;
  answer.result.rows_affected = entry.rows_affected;
  answer.point = response.point;
  answer.target = flow->primary.target;
  answer.is_from_primary = true;
  this->Finish(flow, std::move(answer));
}

void WriteExecutor::RetryLater(const FlowPointer& flow, Step step) {
  const Duration delay = flow->retry_delay;
  flow->retry_delay = std::min(delay * 2, kLongestRetryDelay);
  this->scheduler.PostAfter(
      delay, this->life.Wrap([this, flow, step] { (this->*step)(flow); }));
}

void WriteExecutor::Finish(const FlowPointer& flow, ClientAnswer answer) {
  answer.request_id = flow->request.request_id;
  KINGCUPMILL_VERIFY(flow->reply);
  std::exchange(flow->reply, nullptr)(std::move(answer));
}

}  // namespace kingcupmill
