#include "LibLab/chaos_session.h"

#include <algorithm>
#include <string>
#include <utility>

#include "LibCore/verify.h"

namespace kingcupmill {

namespace {

constexpr Duration kDeadline = std::chrono::milliseconds(3000);
// A call without an answer this long after its deadline is ended.
constexpr Duration kDeadlineGrace = std::chrono::milliseconds(500);

}  // namespace

ChaosSession::ChaosSession(VirtualWorld& world, Options options)
    : world(world), options(std::move(options)) {}

ChaosSession::~ChaosSession() {
  *this->is_alive = false;
}

void ChaosSession::StartCall() {
  KINGCUPMILL_VERIFY(!this->is_busy());
  const uint64_t choice = this->world.random().Below(100);
  if (choice < 25)
    return this->StartWrite();
  if (choice < 35)
    return this->StartClockWrite();
  if (choice < 45)
    return this->StartTransaction();
  if (choice < 75)
    return this->StartSessionRead();
  this->StartBoundedRead();
}

void ChaosSession::Begin(CallKind kind) {
  this->current.emplace();
  ++this->call_number;
  CallRecord& record = this->current->record;
  record.kind = kind;
  record.session = this->options.number;
  record.group = this->options.group;
  record.started_at = this->world.scheduler().Now();
  this->current->deadline = record.started_at + kDeadline;
}

ClientRequest ChaosSession::MakeRequest(ClientOperation operation) {
  ClientRequest request;
  request.operation = operation;
  request.application = ApplicationName{"shop-orders"};
  request.group = this->options.group;
  request.session_point = this->point;
  request.time_left = kDeadline;
  request.request_id =
      RequestId{"shop-orders:s" + std::to_string(this->options.number) + "-" +
                std::to_string(this->call_number)};
  return request;
}

void ChaosSession::Send(ClientRequest request,
                        void (ChaosSession::*did)(ClientAnswer)) {
  auto& proxies = this->world.proxies();
  if (proxies.empty())
    return;
  auto& proxy = *proxies[this->world.random().Below(proxies.size())];
  proxy.core->Handle(
      std::move(request),
      [this, did, number = this->call_number,
       is_alive = std::weak_ptr<bool>(this->is_alive)](ClientAnswer answer) {
        const auto alive = is_alive.lock();
        // Answers that arrive after the call has expired are dropped.
        if (!alive || !*alive || !this->current || number != this->call_number)
          return;
        (this->*did)(std::move(answer));
      });
}

void ChaosSession::StartWrite() {
  this->Begin(CallKind::kWrite);
  this->current->record.sequence = ++this->last_sequence;
  ClientRequest request = this->MakeRequest(ClientOperation::kWrite);
  if (this->world.random().Below(3) == 0)
    request.repeatability = Repeatability::kRepeatable;
  request.statement = {
      "INSERT INTO orders VALUES (?, ?, 0)",
      {static_cast<int64_t>(this->options.number), this->last_sequence}};
  this->Send(std::move(request), &ChaosSession::DidWrite);
}

void ChaosSession::StartClockWrite() {
  this->Begin(CallKind::kClock);
  const int64_t value =
      this->current->record.started_at.time_since_epoch().count();
  this->current->clock_value = value;
  ClientRequest request = this->MakeRequest(ClientOperation::kWrite);
  // Writes of several sessions may run in any order, so the statement never
  // decreases the clock.
  request.statement = {
      "INSERT INTO clock VALUES (1, ?) ON CONFLICT (id) DO UPDATE SET at = "
      "max(at, excluded.at)",
      {value}};
  this->Send(std::move(request), &ChaosSession::DidWrite);
}

void ChaosSession::DidWrite(ClientAnswer answer) {
  const CallRecord& record = this->current->record;
  if (answer.outcome == Outcome::kRan) {
    this->point = answer.point;
    this->required_sequence =
        std::max(this->required_sequence, record.sequence);
    if (this->current->clock_value) {
      this->clock_ticks.push_back(
          {*this->current->clock_value, this->world.scheduler().Now()});
    }
  }
  this->Finish(answer);
}

void ChaosSession::StartTransaction() {
  this->Begin(CallKind::kTransaction);
  this->current->record.sequence = ++this->last_sequence;
  for (const int64_t amount : {1, -1}) {
    this->current->remaining.push_back(
        {"INSERT INTO transfers VALUES (?, ?, ?)",
         {static_cast<int64_t>(this->options.number), this->last_sequence,
          amount}});
  }
  this->Send(this->MakeRequest(ClientOperation::kBegin),
             &ChaosSession::DidBegin);
}

void ChaosSession::DidBegin(ClientAnswer answer) {
  if (answer.outcome != Outcome::kRan)
    return this->Finish(answer);
  this->current->transaction = answer.transaction;
  this->ContinueTransaction();
}

void ChaosSession::ContinueTransaction() {
  // Each step has a deadline of its own.
  this->current->deadline = this->world.scheduler().Now() + kDeadline;
  auto& remaining = this->current->remaining;
  const bool is_commit = remaining.empty();
  ClientRequest request = this->MakeRequest(
      is_commit ? ClientOperation::kCommit : ClientOperation::kExecute);
  request.transaction = this->current->transaction;
  if (is_commit)
    return this->Send(std::move(request), &ChaosSession::Finish);
  request.statement = remaining.front();
  remaining.erase(remaining.begin());
  this->Send(std::move(request), &ChaosSession::DidExecute);
}

void ChaosSession::DidExecute(ClientAnswer answer) {
  if (answer.outcome != Outcome::kRan) {
    // Without a commit the transaction has no effect, even if the statement
    // ran.
    answer.outcome = Outcome::kNotRun;
    return this->Finish(answer);
  }
  this->ContinueTransaction();
}

void ChaosSession::StartSessionRead() {
  this->Begin(CallKind::kSessionRead);
  CallRecord& record = this->current->record;
  record.required_sequence = this->required_sequence;
  record.expected_echo = "s" + std::to_string(this->options.number) + "-" +
                         std::to_string(this->call_number);
  ClientRequest request = this->MakeRequest(ClientOperation::kRead);
  request.statement = {
      "SELECT ? AS echo, ifnull(max(sequence), 0) FROM orders WHERE session "
      "= ?",
      {record.expected_echo, static_cast<int64_t>(this->options.number)}};
  this->Send(std::move(request), &ChaosSession::DidRead);
}

void ChaosSession::StartBoundedRead() {
  this->Begin(CallKind::kBoundedRead);
  CallRecord& record = this->current->record;
  record.expected_echo = "c" + std::to_string(this->options.number) + "-" +
                         std::to_string(this->call_number);
  ClientRequest request = this->MakeRequest(ClientOperation::kRead);
  request.maximum_age = this->options.staleness_bound;
  if (this->world.random().Below(2) == 0)
    request.session_point.reset();
  request.statement = {"SELECT ? AS echo, ifnull(max(at), 0) FROM clock",
                       {record.expected_echo}};
  this->Send(std::move(request), &ChaosSession::DidRead);
}

void ChaosSession::DidRead(ClientAnswer answer) {
  CallRecord& record = this->current->record;
  if (answer.outcome == Outcome::kRan) {
    // If the result belongs to another request, it may have other columns.
    const auto& rows = answer.result.rows;
    if (rows.size() == 1 && rows[0].size() == 2) {
      const auto* echo = std::get_if<std::string>(rows[0].data());
      const auto* number = std::get_if<int64_t>(&rows[0][1]);
      record.echo = echo ? *echo : "";
      record.seen_sequence = number ? *number : 0;
    }
    if (record.kind == CallKind::kSessionRead) {
      this->required_sequence =
          std::max(this->required_sequence, record.seen_sequence);
    }
    if (!this->point ||
        (answer.point && answer.point->position > this->point->position)) {
      this->point = answer.point;
    }
  }
  this->Finish(answer);
}

void ChaosSession::Finish(ClientAnswer answer) {
  CallRecord record = std::move(this->current->record);
  record.finished_at = this->world.scheduler().Now();
  record.outcome = answer.outcome;
  record.target = answer.target;
  record.is_from_primary = answer.is_from_primary;
  record.message = answer.message;
  this->records.push_back(std::move(record));
  this->current.reset();
}

void ChaosSession::ExpireCall() {
  const TimePoint now = this->world.scheduler().Now();
  if (!this->current || now < this->current->deadline + kDeadlineGrace)
    return;
  ClientAnswer lost;
  lost.outcome = Outcome::kUnknown;
  lost.message = "the proxy never answered";
  this->Finish(lost);
}

}  // namespace kingcupmill
