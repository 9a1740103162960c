#include "LibRelay/forwarding_group.h"

#include <algorithm>
#include <utility>

#include "LibDispatch/event_journal.h"

namespace kingcupmill {

namespace {

// How much of its response-time goal a statement waits while no home takes it.
constexpr double kHoldShare = 0.25;
// Between two looks for a home.
constexpr Duration kRetryPause = std::chrono::milliseconds(15);
// Homes that one statement is offered to before it is refused.
constexpr int kMaximumAttempts = 4;
// A home answers when the time of a statement is over; this is for the way.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(60);
// A read without an answer for this long is sent to one more home. The home
// itself tries a second target after 120 ms.
constexpr Duration kHedgeAfter = std::chrono::milliseconds(250);
// When a caller should come back while no home takes work: homes that are lost
// are replaced within about this time.
constexpr Duration kComeBack = std::chrono::milliseconds(400);
// What a home said of the primary holds for this long; several statements a
// second go to each group.
constexpr Duration kWordLife = std::chrono::milliseconds(1500);
constexpr Duration kEndTimeout = std::chrono::milliseconds(500);

StatementAnswer Failed(StatementErrorCode code,
                       std::string message,
                       SessionState state) {
  StatementAnswer answer;
  answer.error = StatementError{code, std::move(message)};
  answer.state = state;
  return answer;
}

}  // namespace

struct ForwardingGroup::Work {
  WorkNumber number = 0;
  WorkRequest request;
  DidFinishWork did_finish;
  bool is_finished = false;
  // Questions without an answer.
  int running = 0;
  int attempts = 0;
  std::set<std::string> avoided;
  Scheduler::TimerId hedge_timer = 0;
};

// A transaction that a home holds.
class ForwardingGroup::Transaction final : public CallerTransaction {
 public:
  Transaction(ForwardingGroup& group,
              std::string address,
              std::string name,
              Duration statement_timeout)
      : group(group),
        address(std::move(address)),
        name(std::move(name)),
        statement_timeout(statement_timeout) {}

  ~Transaction() override {
    if (!this->is_over)
      this->group.End(this->address, this->name);
  }

  void Run(const SessionRecord& record,
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
    query.values = record.values();
    this->group.context.peers.Ask(
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
      // A home ends what was committed or has failed.
      this->is_over = is_commit || !continued->is_known ||
                      continued->answer.error.has_value();
      this->committed = continued->committed;
      if (!continued->is_known)
        return did_answer(Failed(StatementErrorCode::kAborted,
                                 "the transaction was ended", after_failure));
      return did_answer(continued->answer);
    }
    const bool is_sent = !answer || !std::holds_alternative<NotSent>(*answer);
    if (is_sent && is_commit && this->did_write)
      return did_answer(Failed(StatementErrorCode::kInDoubt,
                               "the answer to the commit was lost",
                               after_failure));
    // No commit was sent, so the home rolls it back.
    did_answer(Failed(StatementErrorCode::kAborted,
                      "the proxy that holds the transaction was lost",
                      after_failure));
  }

  ForwardingGroup& group;
  std::string address;
  std::string name;
  Duration statement_timeout;
  uint64_t next_sequence = 0;
  bool did_write = false;
  bool is_over = false;
  std::optional<LogPoint> committed;
  LifeGuard life;
};

ForwardingGroup::ForwardingGroup(Context context)
    : context(std::move(context)) {}

ForwardingGroup::~ForwardingGroup() = default;

GroupAccess::WorkNumber ForwardingGroup::Submit(WorkRequest request,
                                                DidFinishWork did_finish) {
  auto work = std::make_shared<Work>();
  work->number = this->next_number++;
  work->request = std::move(request);
  work->did_finish = std::move(did_finish);
  this->work_by_number.emplace(work->number, work);
  const WorkNumber number = work->number;
  this->Try(work);
  return number;
}

void ForwardingGroup::Cancel(WorkNumber number) {
  const auto found = this->work_by_number.find(number);
  if (found == this->work_by_number.end())
    return;
  const WorkPointer work = found->second;
  work->did_finish = [](WorkOutcome) {};
  // What is under way is awaited, so that a transaction which it opened is
  // ended.
  if (work->running == 0)
    this->Finish(work, WorkOutcome{});
}

void ForwardingGroup::Try(const WorkPointer& work) {
  if (work->is_finished)
    return;
  const TimePoint now = this->context.scheduler.Now();
  const std::vector<Home> homes = this->context.homes();
  std::optional<std::string> address;
  const bool is_hopeless = this->context.is_cut_off() && !this->has_home_here();
  if (work->attempts < kMaximumAttempts && !is_hopeless)
    address = this->context.chooser.Choose(homes, work->avoided, now);
  if (address)
    return this->Send(work, *address);
  if (work->running > 0)
    return;
  if (is_hopeless)
    return this->Refuse(work);
  const TimePoint held_until =
      work->request.received_at +
      duration_cast<Duration>(work->request.route.response_goal * kHoldShare);
  if (now >= held_until || work->attempts >= kMaximumAttempts)
    return this->Refuse(work);
  work->avoided.clear();
  this->context.scheduler.PostAfter(
      kRetryPause, this->life.Wrap([this, work] { this->Try(work); }));
}

void ForwardingGroup::Send(const WorkPointer& work,
                           const std::string& address) {
  const TimePoint now = this->context.scheduler.Now();
  const WorkRequest& request = work->request;
  const Duration left =
      request.received_at + request.route.statement_timeout - now;
  if (left <= Duration(0))
    return this->Refuse(work);
  ++work->attempts;
  ++work->running;
  work->avoided.insert(address);
  ForwardQuery query;
  query.name =
      this->context.name_prefix + "." + std::to_string(this->next_name++);
  query.route = request.route;
  query.command = request.command;
  query.caller_id = request.caller_id;
  query.needs_primary = request.needs_primary;
  query.is_write = request.is_write;
  query.opens_transaction = request.opens_transaction;
  query.values = request.record->values();
  query.session_point = request.session_point;
  query.waited = now - request.received_at;
  this->context.journal.Write(
      EventJournal::Kind::kRouted,
      "event=forwarded request={} group={} home={} attempt={} in_flight={} "
      "waited_ms={}",
      request.caller_id, this->context.group.value, address, work->attempts,
      this->context.chooser.in_flight(address), ToMilliseconds(query.waited));
  const bool is_repeatable = !request.is_write && !request.opens_transaction;
  if (is_repeatable && work->attempts == 1)
    work->hedge_timer = this->context.scheduler.PostAfter(
        kHedgeAfter, this->life.Wrap([this, work] { this->DidHangOn(work); }));
  this->context.chooser.DidSend(address, now);
  this->context.peers.Ask(
      address, query, left + kAnswerMargin,
      this->life.Wrap([this, work, address, name = query.name](
                          const std::optional<PeerAnswer>& answer) {
        this->DidReceive(work, address, name, answer);
      }));
}

void ForwardingGroup::DidHearOfPrimary(const std::string& address,
                                       Duration silence) {
  const std::vector<Home> homes = this->context.homes();
  const auto home =
      std::find_if(homes.begin(), homes.end(),
                   [&](const Home& known) { return known.address == address; });
  // A home of another place says nothing of the paths from here.
  if (home == homes.end() || home->place != this->context.place)
    return;
  this->told_silence = silence;
  this->told_at = this->context.scheduler.Now();
}

bool ForwardingGroup::has_home_here() const {
  const std::vector<Home> homes = this->context.homes();
  return std::any_of(homes.begin(), homes.end(), [this](const Home& home) {
    return home.place == this->context.place;
  });
}

Duration ForwardingGroup::PrimarySilence() const {
  if (!this->has_home_here())
    return this->context.chooser.Silence(this->context.scheduler.Now());
  const bool is_recent =
      this->context.scheduler.Now() - this->told_at < kWordLife;
  return is_recent ? this->told_silence : Duration(0);
}

void ForwardingGroup::DidHangOn(const WorkPointer& work) {
  if (!work->is_finished)
    this->Try(work);
}

void ForwardingGroup::DidReceive(const WorkPointer& work,
                                 const std::string& address,
                                 const std::string& name,
                                 const std::optional<PeerAnswer>& answer) {
  const TimePoint now = this->context.scheduler.Now();
  --work->running;
  const auto* forwarded =
      answer ? std::get_if<ForwardAnswer>(&*answer) : nullptr;
  if (!forwarded) {
    this->context.chooser.DidFail(address, now);
    const bool is_sent = !answer || !std::holds_alternative<NotSent>(*answer);
    if (is_sent && work->request.opens_transaction)
      this->End(address, name);
    if (work->is_finished)
      return;
    if (!is_sent)
      return this->Try(work);
    return this->DidLose(work);
  }
  if (!forwarded->is_taken) {
    this->context.chooser.DidDecline(address, now);
    return this->Try(work);
  }
  this->context.chooser.DidAnswer(address, now);
  this->DidHearOfPrimary(address, forwarded->primary_silence);
  // Another attempt was answered first.
  if (work->is_finished) {
    if (forwarded->is_open)
      this->End(address, name);
    return;
  }
  // The second home of a read has less time for it; the first may still answer.
  if (forwarded->answer.error && work->running > 0)
    return;
  WorkOutcome outcome;
  outcome.answer = forwarded->answer;
  if (forwarded->is_open)
    outcome.transaction = this->Open(*work, address, name);
  this->Finish(work, std::move(outcome));
}

void ForwardingGroup::DidLose(const WorkPointer& work) {
  WorkOutcome outcome;
  const WorkRequest& request = work->request;
  if (request.is_write) {
    outcome.answer = Failed(StatementErrorCode::kInDoubt,
                            "the home's answer was lost", SessionState::kIdle);
    return this->Finish(work, std::move(outcome));
  }
  const bool is_time_over =
      this->context.scheduler.Now() >=
      request.received_at + request.route.statement_timeout;
  if (!is_time_over)
    return this->Try(work);
  if (work->running > 0)
    return;
  outcome.answer = Failed(StatementErrorCode::kTimeout, "no answer in time",
                          SessionState::kIdle);
  this->Finish(work, std::move(outcome));
}

std::unique_ptr<CallerTransaction> ForwardingGroup::Open(
    const Work& work,
    const std::string& address,
    const std::string& name) {
  return std::make_unique<Transaction>(*this, address, name,
                                       work.request.route.statement_timeout);
}

void ForwardingGroup::Refuse(const WorkPointer& work) {
  this->context.journal.Write(
      EventJournal::Kind::kRefused,
      "event=refused request={} group={} waits_for=\"a home\" waited_ms={} "
      "attempts={} come_back_ms={}",
      work->request.caller_id, this->context.group.value,
      ToMilliseconds(this->context.scheduler.Now() - work->request.received_at),
      work->attempts, ToMilliseconds(kComeBack));
  WorkOutcome outcome;
  outcome.answer = Failed(StatementErrorCode::kBusy,
                          fmt::format("waited for a home; retry after {} ms",
                                      ToMilliseconds(kComeBack)),
                          SessionState::kIdle);
  this->Finish(work, std::move(outcome));
}

void ForwardingGroup::Finish(const WorkPointer& work, WorkOutcome outcome) {
  if (std::exchange(work->is_finished, true))
    return;
  if (work->hedge_timer != 0)
    this->context.scheduler.Cancel(work->hedge_timer);
  this->work_by_number.erase(work->number);
  const DidFinishWork did_finish = std::move(work->did_finish);
  did_finish(std::move(outcome));
}

void ForwardingGroup::End(const std::string& address, const std::string& name) {
  this->context.peers.Ask(address, EndQuery{name}, kEndTimeout,
                          [](const auto&) {
                            // A home that does not hear it ends the transaction
                            // by itself.
                          });
}

}  // namespace kingcupmill
