#include "LibGateway/gateway_session.h"

#include <doctest/doctest.h>

#include <map>
#include <utility>
#include <vector>

#include "LibCore/virtual_scheduler.h"

namespace kingcupmill {

namespace {

using Code = StatementErrorCode;

const CustomerName kAcme{"acme"};
const CustomerName kGlobex{"globex"};

// A transaction whose answers the test gives.
class ScriptedTransaction final : public CallerTransaction {
 public:
  struct Log {
    DidAnswer pending;
    std::vector<TransactionStep> steps;
    bool is_ended = false;
  };

  explicit ScriptedTransaction(Log& log) : log(log) {}
  ~ScriptedTransaction() override { this->log.is_ended = true; }

  void Run(const SessionContext&,
           TargetCommand,
           TransactionStep step,
           DidAnswer did_answer) override {
    this->log.steps.push_back(step);
    this->log.pending = std::move(did_answer);
  }
  std::optional<LogPoint> committed_point() const override {
    return std::nullopt;
  }

 private:
  Log& log;
};

class ScriptedDispatcher final : public RequestDispatcher {
 public:
  RequestNumber Submit(DispatchRequest request,
                       DispatchCallback did_finish) override {
    this->requests.push_back(std::move(request));
    this->pending.emplace(++this->number, std::move(did_finish));
    return this->number;
  }
  void Cancel(RequestNumber cancelled) override {
    this->pending.erase(cancelled);
  }

  void Finish(DispatchOutcome outcome) {
    REQUIRE(this->pending.size() == 1);
    const DispatchCallback did_finish =
        std::move(this->pending.extract(this->pending.begin()).mapped());
    did_finish(std::move(outcome));
  }

  std::vector<DispatchRequest> requests;
  std::map<RequestNumber, DispatchCallback> pending;

 private:
  RequestNumber number = 0;
};

struct Fixture final : SessionHost, CallerChannel {
  VirtualScheduler scheduler;
  EventLog event_log{scheduler};
  std::optional<RouteTable> routes;
  SessionAuthorizer authorizer{routes, event_log};
  ScriptedDispatcher dispatcher;
  ScriptedTransaction::Log transaction;
  std::vector<StatementAnswer> answers;
  bool is_closed = false;
  std::optional<GatewaySession> session;

  Fixture() {
    this->Declare({{"key", kAcme}, {"spare", kGlobex}});
    this->session.emplace(this->scheduler, *this, *this, "orders", "key", 1);
  }

  // Puts a configuration in force in which each key belongs to a customer.
  void Declare(const std::map<std::string, CustomerName>& customer_by_key) {
    RouteTable table;
    table.route_by_database["orders"] = CallerRoute{};
    for (const auto& [key, customer] : customer_by_key)
      REQUIRE(table.customers.Add(customer,
                                  {.priority = 4, .usage_limit = {{9, 9}}},
                                  std::vector<std::string>{key}));
    this->routes = std::move(table);
    if (this->session)
      this->session->DidChangeConfiguration();
  }
  void RemoveKey() { this->Declare({{"spare", kGlobex}}); }

  void Send(StatementKind kind) {
    CallerStatement statement;
    statement.id = "1";
    statement.kind = kind;
    statement.name = "name";
    this->session->DidReceive(statement);
  }
  // Starts a transaction, up to its first statement being run by the target.
  void StartTransaction() {
    this->Send(StatementKind::kBegin);
    this->Send(StatementKind::kWrite);
    DispatchOutcome outcome;
    outcome.transaction =
        std::make_unique<ScriptedTransaction>(this->transaction);
    this->dispatcher.Finish(std::move(outcome));
  }
  void AnswerInTransaction() {
    std::exchange(this->transaction.pending, nullptr)(StatementAnswer{});
  }
  // The code of the answer that was sent last; nothing if it was a success.
  std::optional<Code> LastError() const {
    REQUIRE_FALSE(this->answers.empty());
    const auto& error = this->answers.back().error;
    return error ? std::optional(error->code) : std::nullopt;
  }
  bool closes() {
    this->scheduler.RunFor(Duration(0));
    return this->is_closed;
  }

  // SessionHost:
  const CallerRoute* FindRoute(std::string_view database) const override {
    return &this->routes->route_by_database.find(database)->second;
  }
  RequestDispatcher* FindRequestDispatcher(const GroupName&) override {
    return &this->dispatcher;
  }
  SessionAuthorizer& session_authorizer() override { return this->authorizer; }
  Duration transaction_idle_limit() const override {
    return std::chrono::seconds(3);
  }
  bool accepts_transactions() const override { return true; }
  bool accepts_statement(const CallerRoute&) const override { return true; }
  void DidAnswerCaller(const CallerStatement&,
                       const StatementAnswer&,
                       TimePoint) override {}

  // CallerChannel:
  void Send(const StatementAnswer& answer) override {
    this->answers.push_back(answer);
  }
  void Close() override { this->is_closed = true; }
};

}  // namespace

TEST_CASE("the requests of a session name its customer") {
  Fixture fixture;

  SUBCASE("with the declared priority and weight") {
    fixture.Send(StatementKind::kRead);
    const DispatchRequest& request = fixture.dispatcher.requests.at(0);
    CHECK(request.customer == kAcme);
    CHECK(request.customer_priority == 4);
    CHECK(request.customer_weight == 9);
  }

  SUBCASE("also at the start of a transaction") {
    fixture.StartTransaction();
    CHECK(fixture.dispatcher.requests.at(0).customer == kAcme);
  }

  SUBCASE("as of the newest configuration") {
    fixture.Declare({{"key", kGlobex}});
    fixture.Send(StatementKind::kRead);
    CHECK(fixture.dispatcher.requests.at(0).customer == kGlobex);
  }

  SUBCASE("unless no customers are declared") {
    fixture.Declare({});
    fixture.Send(StatementKind::kRead);
    const DispatchRequest& request = fixture.dispatcher.requests.at(0);
    CHECK(request.customer == CustomerName{});
    CHECK(request.customer_weight == 1);
  }
}

// Guards against a removed key that goes on working on an open session, and
// against a caller that is not told what became of its transaction.
TEST_CASE("a session whose key is removed") {
  Fixture fixture;

  SUBCASE("is closed at once if it is idle") {
    fixture.RemoveKey();
    CHECK(fixture.closes());
    CHECK(fixture.answers.empty());
  }

  SUBCASE("stays open if only another key is removed") {
    fixture.Declare({{"key", kAcme}});
    CHECK_FALSE(fixture.closes());
  }

  SUBCASE("refuses a statement that arrives before the close") {
    fixture.RemoveKey();
    fixture.Send(StatementKind::kRead);
    CHECK(fixture.LastError() == Code::kNotAuthorized);
    CHECK(fixture.dispatcher.requests.empty());
    CHECK(fixture.closes());
  }

  SUBCASE("refuses a statement that the proxy itself would answer") {
    fixture.RemoveKey();
    SUBCASE("SET") {
      fixture.Send(StatementKind::kSet);
    }
    SUBCASE("BEGIN") {
      fixture.Send(StatementKind::kBegin);
    }
    CHECK(fixture.LastError() == Code::kNotAuthorized);
    CHECK(fixture.closes());
  }

  SUBCASE("answers a running statement first") {
    fixture.Send(StatementKind::kWrite);
    fixture.RemoveKey();
    CHECK_FALSE(fixture.closes());
    fixture.dispatcher.Finish({});
    CHECK_FALSE(fixture.LastError().has_value());
    CHECK(fixture.closes());

    SUBCASE("and is closed only once") {
      fixture.RemoveKey();
      CHECK(fixture.authorizer.FormatMetrics().find(
                "sessions_closed_total{reason=\"key\"} 1") !=
            std::string::npos);
    }
  }

  SUBCASE("refuses the statement that was queued behind a running one") {
    fixture.Send(StatementKind::kWrite);
    fixture.Send(StatementKind::kWrite);
    fixture.Send(StatementKind::kWrite);
    fixture.RemoveKey();
    fixture.dispatcher.Finish({});
    CHECK_FALSE(fixture.LastError().has_value());
    CHECK(fixture.closes());
    CHECK(fixture.LastError() == Code::kNotAuthorized);
    CHECK(fixture.answers.size() == 2);
    CHECK(fixture.dispatcher.requests.size() == 1);
  }

  SUBCASE("aborts a transaction that has not run a statement") {
    fixture.Send(StatementKind::kBegin);
    fixture.RemoveKey();
    CHECK_FALSE(fixture.closes());
    fixture.Send(StatementKind::kWrite);
    CHECK(fixture.LastError() == Code::kAborted);
    CHECK(fixture.dispatcher.requests.empty());
    CHECK(fixture.closes());
  }

  SUBCASE("aborts a transaction whose start is queued or running") {
    fixture.Send(StatementKind::kBegin);
    fixture.Send(StatementKind::kWrite);
    fixture.RemoveKey();
    CHECK(fixture.LastError() == Code::kAborted);
    CHECK(fixture.dispatcher.pending.empty());
    CHECK(fixture.closes());
  }

  SUBCASE("rolls back an open transaction at once") {
    fixture.StartTransaction();
    fixture.AnswerInTransaction();
    fixture.RemoveKey();
    CHECK(fixture.transaction.is_ended);
    CHECK_FALSE(fixture.closes());

    SUBCASE("and tells the caller with its next statement") {
      SUBCASE("a write") {
        fixture.Send(StatementKind::kWrite);
      }
      SUBCASE("a commit") {
        fixture.Send(StatementKind::kCommit);
      }
      SUBCASE("a rollback") {
        fixture.Send(StatementKind::kRollback);
      }
      CHECK(fixture.LastError() == Code::kAborted);
      CHECK(fixture.transaction.steps.size() == 1);
      CHECK(fixture.closes());
    }

    SUBCASE("also if the key comes back meanwhile") {
      fixture.Declare({{"key", kAcme}});
      fixture.Send(StatementKind::kCommit);
      CHECK(fixture.LastError() == Code::kAborted);
      CHECK_FALSE(fixture.closes());
    }
  }

  SUBCASE("answers a running statement of a transaction, then rolls back") {
    fixture.StartTransaction();
    fixture.RemoveKey();
    CHECK_FALSE(fixture.transaction.is_ended);
    fixture.AnswerInTransaction();
    CHECK_FALSE(fixture.LastError().has_value());
    CHECK(fixture.answers.back().state == SessionState::kInTransaction);
    CHECK(fixture.transaction.is_ended);
    CHECK_FALSE(fixture.closes());
    fixture.Send(StatementKind::kCommit);
    CHECK(fixture.LastError() == Code::kAborted);
    CHECK(fixture.closes());
  }

  SUBCASE("answers a running commit with its outcome") {
    fixture.StartTransaction();
    fixture.AnswerInTransaction();
    fixture.Send(StatementKind::kCommit);
    fixture.RemoveKey();
    CHECK_FALSE(fixture.closes());
    fixture.AnswerInTransaction();
    CHECK_FALSE(fixture.LastError().has_value());
    CHECK(fixture.closes());
  }

  SUBCASE("answers the next statement of a failed transaction") {
    fixture.StartTransaction();
    StatementAnswer failed;
    failed.error = StatementError{Code::kFailed, "failed"};
    std::exchange(fixture.transaction.pending, nullptr)(failed);
    fixture.RemoveKey();
    CHECK_FALSE(fixture.closes());
    fixture.Send(StatementKind::kRead);
    CHECK(fixture.LastError() == Code::kAborted);
    CHECK(fixture.closes());
  }
}

// Guards against statements that run on a connection that was opened under the
// name of another customer.
TEST_CASE("a session whose key moves to another customer") {
  Fixture fixture;

  SUBCASE("stays open") {
    fixture.Declare({{"key", kGlobex}});
    CHECK_FALSE(fixture.closes());
  }

  SUBCASE("aborts its open transaction") {
    fixture.StartTransaction();
    SUBCASE("between two statements") {
      fixture.AnswerInTransaction();
      fixture.Declare({{"key", kGlobex}});
    }
    SUBCASE("after the answer to the running one") {
      fixture.Declare({{"key", kGlobex}});
      fixture.AnswerInTransaction();
    }
    CHECK(fixture.transaction.is_ended);
    fixture.Send(StatementKind::kCommit);
    CHECK(fixture.LastError() == Code::kAborted);
    CHECK_FALSE(fixture.closes());
    fixture.Send(StatementKind::kRead);
    CHECK(fixture.dispatcher.requests.back().customer == kGlobex);
  }

  SUBCASE("aborts a transaction whose start is queued or running") {
    fixture.Send(StatementKind::kBegin);
    fixture.Send(StatementKind::kWrite);
    fixture.Declare({{"key", kGlobex}});
    CHECK(fixture.LastError() == Code::kAborted);
    CHECK(fixture.answers.back().state == SessionState::kFailedTransaction);
    CHECK_FALSE(fixture.closes());
  }
}

}  // namespace kingcupmill
