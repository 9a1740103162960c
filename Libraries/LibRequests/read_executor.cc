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

struct ReadExecutor::Flow {
  ClientRequest request;
  ReadQuery query;
  TimePoint deadline;
  Reply reply;
  ReadDecision decision;
  // Targets that did not serve this read since its last wait.
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
  auto flow = std::make_shared<Flow>();
  flow->query.arrived_at = this->scheduler.Now();
  flow->query.session_point = request.session_point;
  flow->query.maximum_age = request.maximum_age;
  flow->deadline = flow->query.arrived_at + request.time_left;
  flow->request = std::move(request);
  flow->reply = std::move(reply);
  this->budget.DidAttempt();
  this->Attempt(flow);
}

ReadDecision ReadExecutor::Explain(const ReadQuery& query,
                                   Priority priority) const {
  return this->router.Route(this->scheduler.Now(), query, this->monitor.view(),
                            this->monitor.Loads(priority));
}

void ReadExecutor::Attempt(const FlowPointer& flow) {
  const TimePoint now = this->scheduler.Now();
  if (now >= flow->deadline) {
    const std::string reason =
        flow->last_failure.empty() ? flow->decision.reason : flow->last_failure;
    return this->Finish(flow, NotRun(ClientError::kUnavailable,
                                     "the read could not be served before "
                                     "its deadline: " +
                                         reason));
  }
  auto loads = this->monitor.Loads(flow->request.priority);
  for (const TargetName& target : flow->excluded)
    loads.erase(target);
  flow->decision =
      this->router.Route(now, flow->query, this->monitor.view(), loads);
  this->LogDecision(flow->decision);
  switch (flow->decision.kind) {
    case ReadDecision::Kind::kSend:
      return this->Send(flow, flow->decision);
    case ReadDecision::Kind::kRetry:
      return this->RetryLater(flow);
    case ReadDecision::Kind::kFail:
      return this->Finish(
          flow, NotRun(ClientError::kInvalidToken, flow->decision.reason));
  }
}

void ReadExecutor::Send(const FlowPointer& flow, const ReadDecision& decision) {
  TargetPool::Work work;
  work.request.operation = TargetOperation::kRead;
  work.request.statements = {flow->request.statement};
  if (this->options.is_enabled(Guard::kTokenWait))
    work.request.minimum_position = decision.minimum_position;
  work.request.wait = decision.wait;
  work.did_finish = [this, flow](SubmitOutcome outcome, TargetPool::PinId) {
    this->DidAttempt(flow, std::move(outcome));
  };
  this->monitor.pool(decision.target)
      .Submit(flow->request.application, flow->request.priority, flow->deadline,
              std::move(work));
}

void ReadExecutor::DidAttempt(const FlowPointer& flow, SubmitOutcome outcome) {
  if (const auto* failure = std::get_if<SubmitFailure>(&outcome)) {
    flow->last_failure = *failure == SubmitFailure::kOverloaded
                             ? "overloaded"
                             : "no answer from " + flow->decision.target.value;
    flow->excluded.insert(flow->decision.target);
    return this->Retry(flow);
  }
  TargetResponse& response = std::get<TargetResponse>(outcome);
  switch (response.error) {
    case TargetErrorCode::kNone:
      return this->DidRead(flow, std::move(response));
    case TargetErrorCode::kBehind:
      flow->last_failure = flow->decision.target.value + " is behind";
      flow->excluded.insert(flow->decision.target);
      return this->Retry(flow);
    case TargetErrorCode::kNotReadOnly:
      return this->Finish(flow, NotRun(ClientError::kInvalidRequest,
                                       "the statement changes data; send it "
                                       "with access write"));
    default:
      return this->Finish(flow,
                          NotRun(ClientError::kSqlError, response.message));
  }
}

void ReadExecutor::DidRead(const FlowPointer& flow, TargetResponse response) {
  const TimePoint now = this->scheduler.Now();
  const bool is_young_enough =
      flow->decision.is_primary ||
      this->router.is_young_enough(now, flow->query, response.point.position,
                                   this->monitor.view());
  if (!is_young_enough) {
    flow->last_failure = "the answer was older than the stated age";
    return this->Retry(flow);
  }
  ClientAnswer answer;
  answer.outcome = Outcome::kRan;
  answer.result = std::move(response.results.front());
  answer.point = response.point;
  answer.target = flow->decision.target;
  answer.is_from_primary = flow->decision.is_primary;
  this->Finish(flow, std::move(answer));
}

void ReadExecutor::Retry(const FlowPointer& flow) {
  if (this->budget.TrySpend())
    return this->Attempt(flow);
  this->RetryLater(flow);
}

void ReadExecutor::RetryLater(const FlowPointer& flow) {
  // A token that is ahead of what is known may only be new, so the group is
  // asked before the next attempt.
  this->monitor.Probe();
  this->scheduler.PostAfter(kRetryDelay, this->life.Wrap([this, flow] {
    flow->excluded.clear();
    this->Attempt(flow);
  }));
}

void ReadExecutor::Finish(const FlowPointer& flow, ClientAnswer answer) {
  KINGCUPMILL_VERIFY(flow->reply);
  std::exchange(flow->reply, nullptr)(std::move(answer));
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
