#include "LibLab/caller_session.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace kingcupmill {

using nlohmann::json;

namespace {

constexpr int64_t kDeadlineMs = 5000;
constexpr uint64_t kTransactionPercentOfWrites = 10;

Outcome ParseOutcome(const std::string& text) {
  if (text == "ran")
    return Outcome::kRan;
  if (text == "not_run")
    return Outcome::kNotRun;
  return Outcome::kUnknown;
}

}  // namespace

CallerSession::CallerSession(size_t number,
                             GroupName group,
                             ApplicationName application,
                             std::vector<HttpClient*> proxies,
                             const ExperimentOptions& options)
    : number(number),
      group(std::move(group)),
      application(std::move(application)),
      clients(std::move(proxies)),
      options(options),
      random(options.seed * 1000 + number) {}

Duration CallerSession::NextPause() {
  const auto mean = static_cast<uint64_t>(this->options.think_time.count());
  return Duration(static_cast<int64_t>(this->random.Below(2 * mean + 1)));
}

CallRecord CallerSession::MakeCall() {
  if (this->random.Below(100) >= this->options.read_percent) {
    if (this->random.Below(100) < kTransactionPercentOfWrites)
      return this->Transact();
    return this->Write();
  }
  if (this->random.Below(100) < this->options.bounded_read_percent)
    return this->ReadClock();
  return this->ReadOwnWrites();
}

CallRecord CallerSession::StartRecord(CallKind kind) {
  CallRecord record;
  record.kind = kind;
  record.session = this->number;
  record.group = this->group;
  record.started_at = MonotonicNow();
  return record;
}

CallRecord CallerSession::Write() {
  CallRecord record = this->StartRecord(CallKind::kWrite);
  record.sequence = ++this->last_sequence;
  const json body = {{"group", this->group.value},
                     {"sql", "INSERT INTO orders VALUES (?, ?, ?)"},
                     {"parameters",
                      {static_cast<int64_t>(this->number), record.sequence,
                       record.started_at.time_since_epoch().count()}},
                     {"deadline_ms", kDeadlineMs}};
  const Answer answer = this->Post("/v1/statements", body.dump());
  record.finished_at = MonotonicNow();
  record.outcome = answer.outcome;
  record.target = answer.target;
  record.message = answer.message;
  if (record.outcome == Outcome::kRan)
    this->last_acknowledged = record.sequence;
  return record;
}

CallRecord CallerSession::Transact() {
  CallRecord record = this->StartRecord(CallKind::kTransaction);
  record.sequence = ++this->last_sequence;
  const json begin = {{"group", this->group.value},
                      {"deadline_ms", kDeadlineMs}};
  const Answer begun = this->Post("/v1/transactions", begin.dump());
  record.outcome = begun.outcome;
  record.message = begun.message;
  const std::string path = "/v1/transactions/" + begun.transaction;
  // Both halves of the transfer carry the same sequence, so that the check
  // finds a half that is missing or belongs to another transfer.
  for (const int64_t sign : {1, -1}) {
    if (record.outcome != Outcome::kRan)
      break;
    const json half = {
        {"group", this->group.value},
        {"sql", "INSERT INTO transfers VALUES (?, ?, ?)"},
        {"parameters",
         {static_cast<int64_t>(this->number), record.sequence, sign}},
        {"deadline_ms", kDeadlineMs}};
    const Answer executed = this->Post(path + "/statements", half.dump());
    record.outcome = executed.outcome;
    record.message = executed.message;
  }
  const json end = {{"group", this->group.value}, {"deadline_ms", kDeadlineMs}};
  if (begun.outcome == Outcome::kRan && record.outcome != Outcome::kRan) {
    this->Post(path + "/rollback", end.dump());
  } else if (record.outcome == Outcome::kRan) {
    const Answer committed = this->Post(path + "/commit", end.dump());
    record.outcome = committed.outcome;
    record.target = committed.target;
    record.message = committed.message;
  }
  record.finished_at = MonotonicNow();
  return record;
}

CallRecord CallerSession::ReadOwnWrites() {
  CallRecord record = this->StartRecord(CallKind::kSessionRead);
  record.required_sequence = this->last_acknowledged;
  record.expected_echo = "s" + std::to_string(this->number) + "-" +
                         std::to_string(this->next_echo++);
  const json body = {
      {"group", this->group.value},
      {"sql",
       "SELECT ? AS echo, ifnull(max(sequence), 0) FROM orders WHERE "
       "session = ?"},
      {"parameters",
       {record.expected_echo, static_cast<int64_t>(this->number)}},
      {"deadline_ms", kDeadlineMs}};
  this->PostRead(record, body.dump());
  return record;
}

CallRecord CallerSession::ReadClock() {
  CallRecord record = this->StartRecord(CallKind::kBoundedRead);
  record.expected_echo = "c" + std::to_string(this->number) + "-" +
                         std::to_string(this->next_echo++);
  const json body = {
      {"group", this->group.value},
      {"sql", "SELECT ? AS echo, ifnull(max(at), 0) FROM clock"},
      {"parameters", {record.expected_echo}},
      {"max_age_ms", ToMilliseconds(this->options.staleness_bound)},
      {"deadline_ms", kDeadlineMs}};
  this->PostRead(record, body.dump());
  return record;
}

CallerSession::Answer CallerSession::PostRead(CallRecord& record,
                                              const std::string& body) {
  Answer answer = this->Post("/v1/statements", body);
  record.finished_at = MonotonicNow();
  record.outcome = answer.outcome;
  record.target = answer.target;
  record.is_from_primary = answer.is_from_primary;
  record.message = answer.message;
  record.echo = answer.echo;
  record.seen_sequence = answer.number;
  return answer;
}

CallerSession::Answer CallerSession::Post(const std::string& path,
                                          const std::string& body) {
  HttpRequest request;
  request.method = "POST";
  request.path = path;
  request.body = body;
  request.headers.push_back(
      {"Kingcupmill-Application", this->application.value});
  if (!this->token.empty())
    request.headers.push_back({"Kingcupmill-Session", this->token});
  HttpClient& client = *this->clients[this->random.Below(this->clients.size())];
  Answer answer;
  auto outcome = Capture([&] { return client.SendAndWait(request); });
  const auto* response = std::get_if<HttpResponse>(&outcome);
  if (!response)
    return answer;
  const json parsed = json::parse(response->body, nullptr, false);
  if (!parsed.is_object())
    return answer;
  answer.outcome = ParseOutcome(parsed.value("outcome", ""));
  answer.target.value = parsed.value("target", "");
  answer.is_from_primary = parsed.value("role", "") == "primary";
  answer.transaction = parsed.value("transaction", "");
  const json error = parsed.value("error", json::object());
  answer.message = error.value("message", "");
  const json rows = parsed.value("rows", json::array());
  if (!rows.empty() && rows[0].size() == 2) {
    answer.echo = rows[0][0].is_string() ? rows[0][0].get<std::string>() : "";
    answer.number = rows[0][1].is_number() ? rows[0][1].get<int64_t>() : 0;
  }
  if (answer.outcome == Outcome::kRan) {
    const std::string_view next = response->header("Kingcupmill-Session");
    if (!next.empty())
      this->token = std::string(next);
  }
  return answer;
}

}  // namespace kingcupmill
