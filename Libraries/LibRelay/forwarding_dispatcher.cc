#include "LibRelay/forwarding_dispatcher.h"

#include <algorithm>
#include <utility>

#include "LibDispatch/event_log.h"

namespace kingcupmill {

namespace {

// The fraction of its latency target that a statement waits at most while no
// home accepts it.
constexpr double kMaximumWaitShare = 0.25;
// The delay between two attempts to find a home.
constexpr Duration kRetryPause = std::chrono::milliseconds(15);
// The number of homes that one statement is forwarded to before it is refused.
constexpr int kMaximumAttempts = 4;
// A home answers at the latest when the statement's timeout expires; the margin
// covers the network delay of that answer.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(60);
// A read that has not been answered after this delay is forwarded to a second
// home as well. It is longer than the 120 ms after which the first home itself
// sends the read to a second target.
constexpr Duration kHedgeDelay = std::chrono::milliseconds(250);
// When a caller should retry while no home accepts work: lost homes are
// replaced within about this time.
constexpr Duration kRetryAfter = std::chrono::milliseconds(400);
// How long a home's report about the primary is used. Each group gets several
// statements a second, so reports are normally much newer.
constexpr Duration kReportLifetime = std::chrono::milliseconds(1500);
constexpr Duration kRollbackTimeout = std::chrono::milliseconds(500);

StatementAnswer FailedAnswer(StatementErrorCode code,
                             std::string message,
                             SessionState state) {
  StatementAnswer answer;
  answer.error = StatementError{code, std::move(message)};
  answer.state = state;
  return answer;
}

}  // namespace

struct ForwardingDispatcher::PendingRequest {
  RequestNumber number = 0;
  DispatchRequest request;
  DispatchCallback did_finish;
  bool is_finished = false;
  // Forwarded queries without an answer.
  int in_flight = 0;
  int attempts = 0;
  // Homes that the statement has been forwarded to since the list was cleared.
  std::set<std::string> tried_homes;
  Scheduler::TimerId hedge_timer = 0;
};

// The caller's side of a transaction that a home holds.
class ForwardingDispatcher::Transaction final : public CallerTransaction {
 public:
  Transaction(ForwardingDispatcher& dispatcher,
              std::string address,
              std::string name,
              Duration statement_timeout)
      : dispatcher(dispatcher),
        address(std::move(address)),
        name(std::move(name)),
        statement_timeout(statement_timeout) {}

  ~Transaction() override {
    if (!this->is_over)
      this->dispatcher.RollBack(this->address, this->name);
  }

  void Run(const SessionContext& session_context,
           TargetCommand command,
           TransactionStep step,
           DidAnswer did_answer) override {
    if (step == TransactionStep::kWrite)
      this->did_write = true;
    ContinueQuery query;
    query.name = this->name;
    query.sequence = this->next_sequence++;
    query.step = step;
    query.command = std::move(command);
    query.values = session_context.values();
    this->dispatcher.context.peers.Ask(
        this->address, query, this->statement_timeout + kAnswerMargin,
        this->life.Wrap([this, step, did_answer = std::move(did_answer)](
                            const std::optional<PeerAnswer>& answer) {
          this->DidReceive(step, answer, did_answer);
        }));
  }

  std::optional<LogPoint> committed_point() const override {
    return this->committed;
  }

 private:
  void DidReceive(TransactionStep step,
                  const std::optional<PeerAnswer>& answer,
                  const DidAnswer& did_answer) {
    const bool is_commit = step == TransactionStep::kCommit;
    const SessionState after_failure =
        is_commit ? SessionState::kIdle : SessionState::kFailedTransaction;
    if (const auto* continued =
            answer ? std::get_if<ContinueAnswer>(&*answer) : nullptr) {
      // A home ends a transaction itself after a commit or a failed statement.
      this->is_over = is_commit || !continued->is_known ||
                      continued->answer.error.has_value();
      this->committed = continued->committed;
      if (!continued->is_known)
        return did_answer(FailedAnswer(StatementErrorCode::kAborted,
                                       "the transaction was ended",
                                       after_failure));
      return did_answer(continued->answer);
    }
    const bool may_have_run =
        !answer || !std::holds_alternative<NotSent>(*answer);
    if (may_have_run && is_commit && this->did_write)
      return did_answer(FailedAnswer(StatementErrorCode::kInDoubt,
                                     "the answer to the commit was lost",
                                     after_failure));
    // The home has received no commit that wrote, so it rolls back.
    did_answer(FailedAnswer(StatementErrorCode::kAborted,
                            "the proxy that holds the transaction was lost",
                            after_failure));
  }

  ForwardingDispatcher& dispatcher;
  std::string address;
  std::string name;
  Duration statement_timeout;
  uint64_t next_sequence = 0;
  bool did_write = false;
  bool is_over = false;
  std::optional<LogPoint> committed;
  LifetimeGuard life;
};

ForwardingDispatcher::ForwardingDispatcher(Context context)
    : context(std::move(context)),
      balancer(std::hash<std::string>()(this->context.query_name_prefix)) {}

ForwardingDispatcher::~ForwardingDispatcher() = default;

RequestDispatcher::RequestNumber ForwardingDispatcher::Submit(
    DispatchRequest request,
    DispatchCallback did_finish) {
  auto pending = std::make_shared<PendingRequest>();
  pending->number = this->next_number++;
  pending->request = std::move(request);
  pending->did_finish = std::move(did_finish);
  this->pending_by_number.emplace(pending->number, pending);
  const RequestNumber number = pending->number;
  this->ForwardToAnyHome(pending);
  return number;
}

void ForwardingDispatcher::Cancel(RequestNumber number) {
  const auto found = this->pending_by_number.find(number);
  if (found == this->pending_by_number.end())
    return;
  const PendingRequestPointer pending = found->second;
  pending->did_finish = [](DispatchOutcome) {};
  // Queries in flight are still awaited, so that a transaction which one of
  // them opens is rolled back.
  if (pending->in_flight == 0)
    this->Finish(pending, DispatchOutcome{});
}

void ForwardingDispatcher::ForwardToAnyHome(
    const PendingRequestPointer& pending) {
  if (pending->is_finished)
    return;
  const TimePoint now = this->context.scheduler.Now();
  std::optional<std::string> address;
  const bool are_homes_unreachable =
      this->context.is_isolated() && !this->has_home_in_own_place();
  if (pending->attempts < kMaximumAttempts && !are_homes_unreachable)
    address = this->ChooseHome(*pending);
  if (address)
    return this->ForwardTo(pending, *address);
  if (pending->in_flight > 0)
    return;
  if (are_homes_unreachable)
    return this->Refuse(pending);
  const TimePoint wait_deadline =
      pending->request.received_at +
      duration_cast<Duration>(pending->request.route.target_latency *
                              kMaximumWaitShare);
  if (now >= wait_deadline || pending->attempts >= kMaximumAttempts)
    return this->Refuse(pending);
  pending->tried_homes.clear();
  this->context.scheduler.PostAfter(
      kRetryPause,
      this->life.Wrap([this, pending] { this->ForwardToAnyHome(pending); }));
}

std::optional<std::string> ForwardingDispatcher::ChooseHome(
    const PendingRequest& pending) {
  const TimePoint now = this->context.scheduler.Now();
  const std::vector<Home> homes = this->context.homes();
  // Every statement of a transaction would go the long way.
  const bool may_leave = this->context.zone_traffic == ZoneTraffic::kAdaptive &&
                         pending.attempts == 0 &&
                         !pending.request.opens_transaction &&
                         !this->context.is_isolated();
  if (may_leave && this->balancer.TakeForwardElsewhere(now)) {
    std::vector<Home> elsewhere = homes;
    std::erase_if(elsewhere, [this](const Home& home) {
      return home.place == this->context.place;
    });
    auto address = this->context.chooser.Choose(elsewhere, pending.tried_homes,
                                                pending.request.customer, now);
    if (address)
      return address;
  }
  return this->context.chooser.Choose(homes, pending.tried_homes,
                                      pending.request.customer, now);
}

bool ForwardingDispatcher::is_elsewhere(const std::string& address) const {
  const std::vector<Home> homes = this->context.homes();
  return std::any_of(homes.begin(), homes.end(), [&](const Home& home) {
    return home.address == address && home.place != this->context.place;
  });
}

void ForwardingDispatcher::DidServe(const DispatchRequest& request,
                                    const std::string& address,
                                    const ForwardAnswer* answer) {
  if (this->context.zone_traffic != ZoneTraffic::kAdaptive ||
      request.opens_transaction)
    return;
  const TimePoint now = this->context.scheduler.Now();
  const bool is_elsewhere = this->is_elsewhere(address);
  const bool is_refused =
      answer && answer->is_accepted && answer->answer.error &&
      answer->answer.error->code == StatementErrorCode::kBusy;
  if (is_elsewhere && (!answer || !answer->is_accepted || is_refused))
    return this->balancer.DidFailElsewhere();
  if (!answer || !answer->is_accepted)
    return;
  // A refused statement would have waited for longer than it could.
  const Duration elapsed = now - request.received_at;
  this->balancer.DidAnswer(
      is_elsewhere,
      is_refused ? std::max(elapsed, request.route.target_latency) : elapsed,
      now);
}

void ForwardingDispatcher::ForwardTo(const PendingRequestPointer& pending,
                                     const std::string& address) {
  const TimePoint now = this->context.scheduler.Now();
  const DispatchRequest& request = pending->request;
  const Duration left =
      request.received_at + request.route.statement_timeout - now;
  if (left <= Duration(0))
    return this->Refuse(pending);
  ++pending->attempts;
  ++pending->in_flight;
  pending->tried_homes.insert(address);
  ForwardQuery query;
  query.name = this->context.query_name_prefix + "." +
               std::to_string(this->next_query++);
  query.route = request.route;
  query.customer = request.customer;
  query.customer_priority = request.customer_priority;
  query.customer_weight = request.customer_weight;
  query.command = request.command;
  query.statement_id = request.statement_id;
  query.needs_primary = request.needs_primary;
  query.is_write = request.is_write;
  query.opens_transaction = request.opens_transaction;
  query.values = request.session_context->values();
  query.session_point = request.session_point;
  query.waited = now - request.received_at;
  this->context.event_log.Write(
      EventLog::Kind::kRouted,
      "event=forwarded request={} group={} home={} attempt={} in_flight={} "
      "waited_ms={}",
      request.statement_id, this->context.group.value, address,
      pending->attempts, this->context.chooser.in_flight(address),
      ToMilliseconds(query.waited));
  const bool is_repeatable = !request.is_write && !request.opens_transaction;
  if (is_repeatable && pending->attempts == 1)
    pending->hedge_timer = this->context.scheduler.PostAfter(
        kHedgeDelay, this->life.Wrap([this, pending] {
          this->DidReachHedgeDelay(pending);
        }));
  this->context.chooser.DidSend(address, now);
  if (this->context.zone_traffic == ZoneTraffic::kAdaptive)
    this->balancer.DidSend(this->is_elsewhere(address));
  this->context.peers.Ask(
      address, query, left + kAnswerMargin,
      this->life.Wrap([this, pending, address, name = query.name](
                          const std::optional<PeerAnswer>& answer) {
        this->DidReceive(pending, address, name, answer);
      }));
}

void ForwardingDispatcher::DidReportPrimarySilence(const std::string& address,
                                                   Duration silence) {
  const std::vector<Home> homes = this->context.homes();
  const auto home =
      std::find_if(homes.begin(), homes.end(),
                   [&](const Home& known) { return known.address == address; });
  // The report of a home in another place says nothing about the network paths
  // from this place.
  if (home == homes.end() || home->place != this->context.place)
    return;
  this->reported_silence = silence;
  this->reported_at = this->context.scheduler.Now();
}

bool ForwardingDispatcher::has_home_in_own_place() const {
  const std::vector<Home> homes = this->context.homes();
  return std::any_of(homes.begin(), homes.end(), [this](const Home& home) {
    return home.place == this->context.place;
  });
}

Duration ForwardingDispatcher::PrimarySilence() const {
  if (!this->has_home_in_own_place())
    return this->context.chooser.Silence(this->context.scheduler.Now());
  const bool is_recent =
      this->context.scheduler.Now() - this->reported_at < kReportLifetime;
  return is_recent ? this->reported_silence : Duration(0);
}

void ForwardingDispatcher::DidReachHedgeDelay(
    const PendingRequestPointer& pending) {
  if (!pending->is_finished)
    this->ForwardToAnyHome(pending);
}

void ForwardingDispatcher::DidReceive(const PendingRequestPointer& pending,
                                      const std::string& address,
                                      const std::string& name,
                                      const std::optional<PeerAnswer>& answer) {
  const TimePoint now = this->context.scheduler.Now();
  --pending->in_flight;
  const auto* forwarded =
      answer ? std::get_if<ForwardAnswer>(&*answer) : nullptr;
  this->DidServe(pending->request, address, forwarded);
  if (!forwarded) {
    this->context.chooser.DidFail(address, now);
    const bool may_have_run =
        !answer || !std::holds_alternative<NotSent>(*answer);
    if (may_have_run && pending->request.opens_transaction)
      this->RollBack(address, name);
    if (pending->is_finished)
      return;
    if (!may_have_run)
      return this->ForwardToAnyHome(pending);
    return this->DidLoseAnswer(pending);
  }
  if (!forwarded->is_accepted) {
    this->context.chooser.DidDecline(address, now);
    return this->ForwardToAnyHome(pending);
  }
  this->context.chooser.DidAnswer(address, now);
  this->DidReportPrimarySilence(address, forwarded->primary_silence);
  // Another attempt has been answered already.
  if (pending->is_finished) {
    if (forwarded->is_open)
      this->RollBack(address, name);
    return;
  }
  // The second home of a hedged read has less time for it and may fail while
  // the first home still answers.
  if (forwarded->answer.error && pending->in_flight > 0)
    return;
  DispatchOutcome outcome;
  outcome.answer = forwarded->answer;
  if (forwarded->is_open)
    outcome.transaction = this->Open(*pending, address, name);
  this->Finish(pending, std::move(outcome));
}

void ForwardingDispatcher::DidLoseAnswer(const PendingRequestPointer& pending) {
  DispatchOutcome outcome;
  const DispatchRequest& request = pending->request;
  if (request.is_write) {
    outcome.answer =
        FailedAnswer(StatementErrorCode::kInDoubt, "the home's answer was lost",
                     SessionState::kIdle);
    return this->Finish(pending, std::move(outcome));
  }
  const bool is_time_over =
      this->context.scheduler.Now() >=
      request.received_at + request.route.statement_timeout;
  if (!is_time_over)
    return this->ForwardToAnyHome(pending);
  if (pending->in_flight > 0)
    return;
  outcome.answer = FailedAnswer(StatementErrorCode::kTimeout,
                                "no answer in time", SessionState::kIdle);
  this->Finish(pending, std::move(outcome));
}

std::unique_ptr<CallerTransaction> ForwardingDispatcher::Open(
    const PendingRequest& pending,
    const std::string& address,
    const std::string& name) {
  return std::make_unique<Transaction>(*this, address, name,
                                       pending.request.route.statement_timeout);
}

void ForwardingDispatcher::Refuse(const PendingRequestPointer& pending) {
  this->context.event_log.Write(
      EventLog::Kind::kRefused,
      "event=refused request={} group={} waits_for=\"a home\" waited_ms={} "
      "attempts={} come_back_ms={}",
      pending->request.statement_id, this->context.group.value,
      ToMilliseconds(this->context.scheduler.Now() -
                     pending->request.received_at),
      pending->attempts, ToMilliseconds(kRetryAfter));
  DispatchOutcome outcome;
  outcome.answer =
      FailedAnswer(StatementErrorCode::kBusy,
                   fmt::format("waited for a home; retry after {} ms",
                               ToMilliseconds(kRetryAfter)),
                   SessionState::kIdle);
  this->Finish(pending, std::move(outcome));
}

void ForwardingDispatcher::Finish(const PendingRequestPointer& pending,
                                  DispatchOutcome outcome) {
  if (std::exchange(pending->is_finished, true))
    return;
  if (pending->hedge_timer != 0)
    this->context.scheduler.Cancel(pending->hedge_timer);
  this->pending_by_number.erase(pending->number);
  const DispatchCallback did_finish = std::move(pending->did_finish);
  did_finish(std::move(outcome));
}

void ForwardingDispatcher::RollBack(const std::string& address,
                                    const std::string& name) {
  this->context.peers.Ask(address, RollbackQuery{name}, kRollbackTimeout,
                          [](const auto&) {
                            // A home that does not receive this rolls the
                            // transaction back at its idle limit.
                          });
}

}  // namespace kingcupmill
