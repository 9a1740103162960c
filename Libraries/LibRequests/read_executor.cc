#include "LibRequests/read_executor.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "LibCore/decision_log.h"
#include "LibCore/verify.h"
#include "LibRequests/group_monitor.h"

namespace kingcupmill {

namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(4);

}  // namespace

struct ReadExecutor::PendingRead {
  ClientRequest request;
  ReadQuery query;
  TimePoint deadline;
  Reply reply;
  ReadDecision decision;
  // Targets that have failed this read since its last retry delay.
  std::set<TargetName> excluded;
  std::string last_failure;
};

ReadExecutor::ReadExecutor(Scheduler& scheduler,
                           GroupMonitor& monitor,
                           const DecisionLog& log,
                           const GroupOptions& options)
    : scheduler(scheduler),
      monitor(monitor),
      log(log),
      options(options),
      router(options.router),
      budget(options.retry_budget) {}

ReadExecutor::~ReadExecutor() = default;

void ReadExecutor::Execute(ClientRequest request, Reply reply) {
  auto read = std::make_shared<PendingRead>();
  read->query.arrived_at = this->scheduler.Now();
  read->query.session_point = request.session_point;
  read->query.maximum_age = request.maximum_age;
  read->deadline = read->query.arrived_at + request.time_left;
  read->request = std::move(request);
  read->reply = std::move(reply);
  this->budget.DidAttempt();
  this->Attempt(read);
}

ReadDecision ReadExecutor::Explain(const ReadQuery& query,
                                   Priority priority) const {
  return this->router.Route(this->scheduler.Now(), query, this->monitor.view(),
                            this->monitor.Loads(priority));
}

void ReadExecutor::Attempt(const PendingReadPointer& read) {
  const TimePoint now = this->scheduler.Now();
  if (now >= read->deadline) {
    const std::string reason =
        read->last_failure.empty() ? read->decision.reason : read->last_failure;
    return this->Finish(read, NotRun(ClientError::kUnavailable,
                                     "the read could not be served before "
                                     "its deadline: " +
                                         reason));
  }
  auto loads = this->monitor.Loads(read->request.priority);
  for (const TargetName& target : read->excluded)
    loads.erase(target);
  read->decision =
      this->router.Route(now, read->query, this->monitor.view(), loads);
  this->LogDecision(read->decision);
  switch (read->decision.kind) {
    case ReadDecision::Kind::kSend:
      return this->Send(read, read->decision);
    case ReadDecision::Kind::kRetry:
      return this->RetryLater(read);
    case ReadDecision::Kind::kFail:
      return this->Finish(
          read, NotRun(ClientError::kInvalidToken, read->decision.reason));
  }
}

void ReadExecutor::Send(const PendingReadPointer& read,
                        const ReadDecision& decision) {
  TargetPool::Work work;
  work.request.operation = TargetOperation::kRead;
  work.request.statements = {read->request.statement};
  if (this->options.is_enabled(Safeguard::kTokenWait))
    work.request.minimum_position = decision.minimum_position;
  work.request.wait = decision.wait;
  work.did_finish = [this, read](SubmitOutcome outcome, TargetPool::PinId) {
    this->DidAttempt(read, std::move(outcome));
  };
  this->monitor.pool(decision.target)
      .Submit(read->request.application, read->request.priority, read->deadline,
              std::move(work));
}

void ReadExecutor::DidAttempt(const PendingReadPointer& read,
                              SubmitOutcome outcome) {
  if (const auto* failure = std::get_if<SubmitFailure>(&outcome)) {
    read->last_failure = *failure == SubmitFailure::kOverloaded
                             ? "overloaded"
                             : "no answer from " + read->decision.target.value;
    read->excluded.insert(read->decision.target);
    return this->Retry(read);
  }
  TargetResponse& response = std::get<TargetResponse>(outcome);
  switch (response.error) {
    case TargetErrorCode::kNone:
      return this->FinishIfFresh(read, std::move(response));
    case TargetErrorCode::kBehind:
      read->last_failure = read->decision.target.value + " is behind";
      read->excluded.insert(read->decision.target);
      return this->Retry(read);
    case TargetErrorCode::kNotReadOnly:
      return this->Finish(read, NotRun(ClientError::kInvalidRequest,
                                       "the statement changes data; send it "
                                       "with access write"));
    default:
      return this->Finish(read,
                          NotRun(ClientError::kSqlError, response.message));
  }
}

void ReadExecutor::FinishIfFresh(const PendingReadPointer& read,
                                 TargetResponse response) {
  const TimePoint now = this->scheduler.Now();
  const bool is_fresh =
      read->decision.is_primary ||
      this->router.is_fresh_enough(now, read->query, response.point.position,
                                   this->monitor.view());
  if (!is_fresh) {
    read->last_failure = "the answer was older than the stated age";
    return this->Retry(read);
  }
  ClientAnswer answer;
  answer.outcome = Outcome::kRan;
  answer.result = std::move(response.results.front());
  answer.point = response.point;
  answer.target = read->decision.target;
  answer.is_from_primary = read->decision.is_primary;
  this->Finish(read, std::move(answer));
}

void ReadExecutor::Retry(const PendingReadPointer& read) {
  if (this->budget.TrySpend())
    return this->Attempt(read);
  this->RetryLater(read);
}

void ReadExecutor::RetryLater(const PendingReadPointer& read) {
  // A session token may lie ahead of the last known statuses because its write
  // is recent, so new statuses are requested before the next attempt.
  this->monitor.Probe();
  this->scheduler.PostAfter(kRetryDelay, this->life.Wrap([this, read] {
    read->excluded.clear();
    this->Attempt(read);
  }));
}

void ReadExecutor::Finish(const PendingReadPointer& read, ClientAnswer answer) {
  KINGCUPMILL_VERIFY(read->reply);
  std::exchange(read->reply, nullptr)(std::move(answer));
}

void ReadExecutor::LogDecision(const ReadDecision& decision) const {
  if (!this->log.is_enabled(DecisionLog::Frequency::kPerRequest))
    return;
  std::string candidates;
  for (const auto& [target, load] : this->monitor.Loads(Priority::kOrdinary)) {
    candidates += (candidates.empty() ? "" : " ") + target.value + ":" +
                  std::to_string(load.expected_wait.count()) + "us";
  }
  const bool is_sent = decision.kind == ReadDecision::Kind::kSend;
  this->log.Write(DecisionLog::Frequency::kPerRequest, "route_read",
                  this->options.group.value,
                  is_sent ? decision.target.value : "none", candidates,
                  decision.reason);
}

}  // namespace kingcupmill
