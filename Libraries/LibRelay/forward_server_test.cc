#include "LibRelay/forward_server.h"

#include <doctest/doctest.h>

#include <deque>
#include <optional>
#include <string>
#include <utility>

#include "LibCore/virtual_scheduler.h"

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// What a ScriptedTransaction has done; read after its destruction as well.
struct ScriptedTransactionState {
  int runs = 0;
  bool is_ended = false;
  CallerTransaction::DidAnswer unanswered;
};

class ScriptedTransaction final : public CallerTransaction {
 public:
  explicit ScriptedTransaction(ScriptedTransactionState& state)
      : state(state) {}
  ~ScriptedTransaction() override { this->state.is_ended = true; }

  void Run(const SessionContext&,
           TargetCommand,
           TransactionStep,
           DidAnswer did_answer) override {
    ++this->state.runs;
    this->state.unanswered = std::move(did_answer);
  }
  std::optional<LogPoint> committed_point() const override {
    return LogPoint{Term{1}, Position{5}};
  }

 private:
  ScriptedTransactionState& state;
};

class ScriptedHome final : public RequestDispatcher {
 public:
  RequestNumber Submit(DispatchRequest request,
                       DispatchCallback did_finish) override {
    this->requests.push_back(std::move(request));
    this->did_finish = std::move(did_finish);
    return 1;
  }
  void Cancel(RequestNumber) override {}

  std::deque<DispatchRequest> requests;
  DispatchCallback did_finish;
};

}  // namespace

TEST_CASE("a home that other proxies forward statements to") {
  VirtualScheduler scheduler;
  scheduler.RunFor(seconds(10));
  ScriptedHome home;
  bool is_home = true;
  ForwardServer server(
      scheduler,
      [&](const GroupName&) -> RequestDispatcher* {
        return is_home ? &home : nullptr;
      },
      [](const GroupName&) { return Duration(milliseconds(700)); },
      [] { return Duration(seconds(3)); });
  std::optional<PeerAnswer> answer;
  const auto send_answer = [&](const PeerAnswer& received) {
    answer = received;
  };
  ForwardQuery query;
  query.name = "sender.1";
  query.values = {{"zone", "utc"}};
  query.waited = milliseconds(30);

  SUBCASE("declines a statement for a group that it is not a home of") {
    is_home = false;
    server.Handle(query, send_answer);
    CHECK_FALSE(std::get<ForwardAnswer>(*answer).is_accepted);
  }

  SUBCASE("counts the time that a statement had waited at the sender") {
    server.Handle(query, send_answer);
    REQUIRE(home.requests.size() == 1);
    CHECK(home.requests[0].received_at == scheduler.Now() - milliseconds(30));
    CHECK(home.requests[0].session_context->values() == query.values);
  }

  SUBCASE("is not idle before the answer, so a shutdown waits for it") {
    server.Handle(query, send_answer);
    CHECK_FALSE(server.is_idle());
    home.did_finish(DispatchOutcome());
    CHECK(server.is_idle());
  }

  SUBCASE(
      "answers with the rows of the target and the silence of the primary") {
    server.Handle(query, send_answer);
    DispatchOutcome outcome;
    outcome.answer.rows = {"row"};
    home.did_finish(std::move(outcome));
    CHECK(std::get<ForwardAnswer>(*answer).answer.rows.size() == 1);
    CHECK_FALSE(std::get<ForwardAnswer>(*answer).is_open);
    CHECK(std::get<ForwardAnswer>(*answer).primary_silence ==
          milliseconds(700));
  }

  SUBCASE("holds large statements up to a limit") {
    query.command.text = std::string(size_t{1} << 20U, 'a');
    query.statement_id = "1";
    for (const char* name : {"sender.1", "sender.2", "sender.3"}) {
      query.name = name;
      server.Handle(query, send_answer);
    }
    CHECK(home.requests.size() == 3);
    query.name = "sender.4";
    server.Handle(query, send_answer);
    CHECK(home.requests.size() == 3);
    const auto& refused = std::get<ForwardAnswer>(*answer);
    CHECK(refused.is_accepted);
    CHECK(refused.answer.error->code == StatementErrorCode::kBusy);

    SUBCASE("and accepts another one after an answer") {
      home.did_finish(DispatchOutcome());
      server.Handle(query, send_answer);
      CHECK(home.requests.size() == 4);
    }
    SUBCASE("and small ones without a limit") {
      query.command.text = std::string(16'000, 'a');
      for (int count = 0; count < 100; ++count) {
        query.name = "small." + std::to_string(count);
        server.Handle(query, send_answer);
      }
      CHECK(home.requests.size() == 103);
    }
  }

  SUBCASE("holds a transaction") {
    ScriptedTransactionState state;
    query.opens_transaction = true;
    server.Handle(query, send_answer);
    DispatchOutcome outcome;
    outcome.transaction = std::make_unique<ScriptedTransaction>(state);
    home.did_finish(std::move(outcome));
    REQUIRE(std::get<ForwardAnswer>(*answer).is_open);
    CHECK_FALSE(server.is_idle());
    ContinueQuery next;
    next.name = query.name;

    SUBCASE("and runs its statements") {
      server.Handle(next, send_answer);
      CHECK(state.runs == 1);
      state.unanswered(StatementAnswer());
      CHECK(std::get<ContinueAnswer>(*answer).is_known);
      CHECK_FALSE(state.is_ended);

      SUBCASE("until the sequence of its statements has a gap") {
        next.sequence = 2;
        server.Handle(next, send_answer);
        CHECK(state.runs == 1);
        CHECK(state.is_ended);
        CHECK_FALSE(std::get<ContinueAnswer>(*answer).is_known);
      }

      SUBCASE("until its commit") {
        next.sequence = 1;
        next.step = TransactionStep::kCommit;
        server.Handle(next, send_answer);
        state.unanswered(StatementAnswer());
        CHECK(state.is_ended);
        CHECK(std::get<ContinueAnswer>(*answer).committed.has_value());
      }
    }

    SUBCASE("until the querying proxy rolls it back") {
      server.Handle(RollbackQuery{query.name}, send_answer);
      CHECK(state.is_ended);
      CHECK(server.transaction_count() == 0);
    }

    SUBCASE("until it has been idle for too long") {
      scheduler.RunFor(seconds(4));
      CHECK(state.is_ended);
    }

    SUBCASE("and does not end it while a statement is running") {
      server.Handle(next, send_answer);
      scheduler.RunFor(seconds(4));
      server.RollBackIdle();
      CHECK_FALSE(state.is_ended);
    }

    SUBCASE("until the home shuts down") {
      server.RollBackIdle();
      CHECK(state.is_ended);
    }
  }
}

}  // namespace kingcupmill
