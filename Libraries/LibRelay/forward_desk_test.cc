#include "LibRelay/forward_desk.h"

#include <doctest/doctest.h>

#include <deque>
#include <optional>
#include <utility>

#include "LibCore/virtual_scheduler.h"

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// What happened to the transaction that a ScriptedHome opened.
struct TransactionLog {
  int runs = 0;
  bool is_ended = false;
  CallerTransaction::DidAnswer unanswered;
};

class ScriptedTransaction final : public CallerTransaction {
 public:
  explicit ScriptedTransaction(TransactionLog& log) : log(log) {}
  ~ScriptedTransaction() override { this->log.is_ended = true; }

  void Run(const SessionRecord&,
           TargetCommand,
           TransactionStep,
           DidAnswer did_answer) override {
    ++this->log.runs;
    this->log.unanswered = std::move(did_answer);
  }
  std::optional<LogPoint> committed_point() const override {
    return LogPoint{Term{1}, Position{5}};
  }

 private:
  TransactionLog& log;
};

class ScriptedHome final : public GroupAccess {
 public:
  WorkNumber Submit(WorkRequest request, DidFinishWork did_finish) override {
    this->requests.push_back(std::move(request));
    this->did_finish = std::move(did_finish);
    return 1;
  }
  void Cancel(WorkNumber) override {}

  std::deque<WorkRequest> requests;
  DidFinishWork did_finish;
};

}  // namespace

TEST_CASE("a home that other proxies forward statements to") {
  VirtualScheduler scheduler;
  scheduler.RunFor(seconds(10));
  ScriptedHome home;
  bool is_home = true;
  ForwardDesk desk(
      scheduler,
      [&](const GroupName&) -> GroupAccess* {
        return is_home ? &home : nullptr;
      },
      [](const GroupName&) { return Duration(milliseconds(700)); },
      [] { return Duration(seconds(3)); });
  std::optional<PeerAnswer> answer;
  const auto take = [&](const PeerAnswer& given) { answer = given; };
  ForwardQuery query;
  query.name = "asker.1";
  query.values = {{"zone", "utc"}};
  query.waited = milliseconds(30);

  SUBCASE("declines what it is no home of") {
    is_home = false;
    desk.Handle(query, take);
    CHECK_FALSE(std::get<ForwardAnswer>(*answer).is_taken);
  }

  SUBCASE("counts the time that a statement waited before") {
    desk.Handle(query, take);
    REQUIRE(home.requests.size() == 1);
    CHECK(home.requests[0].received_at == scheduler.Now() - milliseconds(30));
    CHECK(home.requests[0].record->values() == query.values);
  }

  SUBCASE("is not idle before the answer, so a shutdown waits for it") {
    desk.Handle(query, take);
    CHECK_FALSE(desk.is_idle());
    home.did_finish(WorkOutcome());
    CHECK(desk.is_idle());
  }

  SUBCASE("answers with what the target said") {
    desk.Handle(query, take);
    WorkOutcome outcome;
    outcome.answer.rows = {"row"};
    home.did_finish(std::move(outcome));
    CHECK(std::get<ForwardAnswer>(*answer).answer.rows.size() == 1);
    CHECK_FALSE(std::get<ForwardAnswer>(*answer).is_open);
    CHECK(std::get<ForwardAnswer>(*answer).primary_silence ==
          milliseconds(700));
  }

  SUBCASE("holds a transaction") {
    TransactionLog log;
    query.opens_transaction = true;
    desk.Handle(query, take);
    WorkOutcome outcome;
    outcome.transaction = std::make_unique<ScriptedTransaction>(log);
    home.did_finish(std::move(outcome));
    REQUIRE(std::get<ForwardAnswer>(*answer).is_open);
    CHECK_FALSE(desk.is_idle());
    ContinueQuery next;
    next.name = query.name;

    SUBCASE("and runs its statements") {
      desk.Handle(next, take);
      CHECK(log.runs == 1);
      log.unanswered(StatementAnswer());
      CHECK(std::get<ContinueAnswer>(*answer).is_known);
      CHECK_FALSE(log.is_ended);

      SUBCASE("until one of them is lost") {
        next.sequence = 2;
        desk.Handle(next, take);
        CHECK(log.runs == 1);
        CHECK(log.is_ended);
        CHECK_FALSE(std::get<ContinueAnswer>(*answer).is_known);
      }

      SUBCASE("until its commit") {
        next.sequence = 1;
        next.step = TransactionStep::kCommit;
        desk.Handle(next, take);
        log.unanswered(StatementAnswer());
        CHECK(log.is_ended);
        CHECK(std::get<ContinueAnswer>(*answer).committed.has_value());
      }
    }

    SUBCASE("until the asker ends it") {
      desk.Handle(EndQuery{query.name}, take);
      CHECK(log.is_ended);
      CHECK(desk.transaction_count() == 0);
    }

    SUBCASE("until it has been idle for too long") {
      scheduler.RunFor(seconds(4));
      CHECK(log.is_ended);
    }

    SUBCASE("but not while a statement runs") {
      desk.Handle(next, take);
      scheduler.RunFor(seconds(4));
      desk.EndIdle();
      CHECK_FALSE(log.is_ended);
    }

    SUBCASE("until the home shuts down") {
      desk.EndIdle();
      CHECK(log.is_ended);
    }
  }
}

}  // namespace kingcupmill
