#include "LibRelay/forwarding_dispatcher.h"

#include <doctest/doctest.h>

#include <optional>
#include <utility>

#include "LibCore/virtual_scheduler.h"
#include "LibDispatch/event_log.h"
#include "LibPeer/scripted_peer_links.h"

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;

enum class RequestKind { kRead, kWrite, kBegin };

DispatchRequest MakeRequest(RequestKind kind, TimePoint now) {
  DispatchRequest request;
  request.route.group = GroupName{"orders"};
  request.route.statement_timeout = milliseconds(800);
  request.route.target_latency = milliseconds(200);
  request.command.kind = kind == RequestKind::kBegin
                             ? TargetCommandKind::kBegin
                             : TargetCommandKind::kStatement;
  request.command.request_id = "id";
  request.is_write = kind == RequestKind::kWrite;
  request.opens_transaction = kind == RequestKind::kBegin;
  request.session_context = std::make_shared<SessionContext>();
  request.received_at = now;
  return request;
}

ForwardAnswer AcceptedAnswer() {
  ForwardAnswer answer;
  answer.is_accepted = true;
  answer.answer.receipt = "receipt";
  return answer;
}

struct World {
  VirtualScheduler scheduler;
  ScriptedPeerLinks peers;
  EventLog journal{scheduler};
  HomeChooser chooser{PlaceName{"accra-a"}, 1};
  std::vector<Home> homes = {{"a", PlaceName{"accra-a"}},
                             {"b", PlaceName{"tema-c"}}};
  ForwardingDispatcher dispatcher{ForwardingDispatcher::Context{
      scheduler, peers, journal, chooser, GroupName{"orders"},
      PlaceName{"accra-a"}, [this] { return this->homes; },
      [this] { return this->is_isolated; }, "proxy"}};
  bool is_isolated = false;
  std::optional<DispatchOutcome> outcome;

  RequestDispatcher::RequestNumber Submit(RequestKind kind) {
    return this->dispatcher.Submit(
        MakeRequest(kind, this->scheduler.Now()),
        [this](DispatchOutcome ended) { this->outcome = std::move(ended); });
  }
  std::optional<StatementErrorCode> error() const {
    if (!this->outcome || !this->outcome->answer.error)
      return std::nullopt;
    return this->outcome->answer.error->code;
  }
};

}  // namespace

TEST_CASE("a statement for a group that this proxy is not a home of") {
  World world;

  SUBCASE("is forwarded and its answer is passed on") {
    world.Submit(RequestKind::kRead);
    REQUIRE(world.peers.pending_queries.size() == 1);
    CHECK(world.peers.pending_queries.front().address == "a");
    world.peers.Answer(AcceptedAnswer());
    REQUIRE(world.outcome.has_value());
    CHECK(world.outcome->answer.receipt == "receipt");
    CHECK(world.dispatcher.open_count() == 0);
  }

  SUBCASE("is refused at once when isolated from the places of all homes") {
    world.homes = {{"b", PlaceName{"tema-c"}}};
    world.is_isolated = true;
    world.Submit(RequestKind::kRead);
    CHECK(world.peers.pending_queries.empty());
    CHECK(world.error() == StatementErrorCode::kBusy);

    SUBCASE("but not when a home is in the same place") {
      world.homes.push_back({"a", PlaceName{"accra-a"}});
      world.Submit(RequestKind::kRead);
      CHECK(world.peers.pending_queries.size() == 1);
    }
  }

  SUBCASE("measures the silence of homes when none is in the same place") {
    world.homes = {{"b", PlaceName{"tema-c"}}};
    world.Submit(RequestKind::kRead);
    world.scheduler.RunFor(milliseconds(600));
    CHECK(world.dispatcher.PrimarySilence() >= milliseconds(600));
    world.peers.Answer(AcceptedAnswer());
    CHECK(world.dispatcher.PrimarySilence() == Duration(0));
  }

  SUBCASE("brings a report of the primary's silence") {
    world.scheduler.RunFor(std::chrono::seconds(10));
    CHECK(world.dispatcher.PrimarySilence() == Duration(0));
    ForwardAnswer answer = AcceptedAnswer();
    answer.primary_silence = milliseconds(600);
    world.Submit(RequestKind::kRead);
    world.peers.Answer(answer);
    CHECK(world.dispatcher.PrimarySilence() == milliseconds(600));

    SUBCASE("that expires") {
      world.scheduler.RunFor(std::chrono::seconds(2));
      CHECK(world.dispatcher.PrimarySilence() == Duration(0));
    }

    SUBCASE("that a home of another place does not replace") {
      world.Submit(RequestKind::kRead);
      world.peers.Answer(ForwardAnswer{});
      world.peers.Answer(AcceptedAnswer());
      CHECK(world.dispatcher.PrimarySilence() == milliseconds(600));
    }
  }

  SUBCASE("goes to another home when the first could not be reached") {
    world.Submit(RequestKind::kWrite);
    world.peers.Answer(NotSent{});
    REQUIRE(world.peers.pending_queries.size() == 1);
    CHECK(world.peers.pending_queries.front().address == "b");
  }

  SUBCASE("goes to another home when the first declines") {
    world.Submit(RequestKind::kWrite);
    world.peers.Answer(ForwardAnswer{});
    REQUIRE(world.peers.pending_queries.size() == 1);
    CHECK(world.peers.pending_queries.front().address == "b");
  }

  SUBCASE(
      "that writes is in doubt, and not sent again, when its answer is lost") {
    world.Submit(RequestKind::kWrite);
    world.peers.Answer(std::nullopt);
    CHECK(world.error() == StatementErrorCode::kInDoubt);
    CHECK(world.peers.pending_queries.empty());
  }

  SUBCASE("that reads runs again when its answer is lost") {
    world.Submit(RequestKind::kRead);
    world.peers.Answer(std::nullopt);
    REQUIRE(world.peers.pending_queries.size() == 1);
    CHECK(world.peers.pending_queries.front().address == "b");
    world.peers.Answer(AcceptedAnswer());
    CHECK_FALSE(world.error().has_value());
  }

  SUBCASE("that reads is hedged to a second home while the first is silent") {
    world.Submit(RequestKind::kRead);
    const auto silent = world.peers.TakeOldest();
    world.scheduler.RunFor(milliseconds(260));
    REQUIRE(world.peers.pending_queries.size() == 1);
    CHECK(world.peers.pending_queries.front().address == "b");
    world.peers.Answer(AcceptedAnswer());
    REQUIRE(world.outcome.has_value());

    SUBCASE("and the late answer of the first is ignored") {
      world.outcome.reset();
      silent.did_answer(AcceptedAnswer());
      CHECK_FALSE(world.outcome.has_value());
    }
  }

  SUBCASE(
      "that reads does not fail with the second home while the first may "
      "answer") {
    world.Submit(RequestKind::kRead);
    const auto first = world.peers.TakeOldest();
    world.scheduler.RunFor(milliseconds(260));
    ForwardAnswer refusal = AcceptedAnswer();
    refusal.answer.error =
        StatementError{StatementErrorCode::kBusy, "no time left"};
    world.peers.Answer(refusal);
    CHECK_FALSE(world.outcome.has_value());
    first.did_answer(AcceptedAnswer());
    REQUIRE(world.outcome.has_value());
    CHECK_FALSE(world.error().has_value());
  }

  SUBCASE("that writes is not sent again while the home is silent") {
    world.Submit(RequestKind::kWrite);
    world.peers.TakeOldest();
    world.scheduler.RunFor(milliseconds(700));
    CHECK(world.peers.pending_queries.empty());
  }

  SUBCASE(
      "without any home is refused as not run, before its response-time goal") {
    world.homes.clear();
    world.Submit(RequestKind::kWrite);
    CHECK_FALSE(world.outcome.has_value());
    world.scheduler.RunFor(milliseconds(70));
    CHECK(world.error() == StatementErrorCode::kBusy);
  }

  SUBCASE("waits for a home when there is briefly none") {
    const std::vector<Home> later = std::exchange(world.homes, {});
    world.Submit(RequestKind::kRead);
    world.homes = later;
    world.scheduler.RunFor(milliseconds(20));
    CHECK(world.peers.pending_queries.size() == 1);
  }
}

TEST_CASE("a transaction that a home holds") {
  World world;
  world.Submit(RequestKind::kBegin);
  ForwardAnswer opened = AcceptedAnswer();
  opened.is_open = true;
  const std::string name = world.peers.Oldest<ForwardQuery>().name;
  world.peers.Answer(opened);
  REQUIRE(world.outcome->transaction != nullptr);
  auto transaction = std::move(world.outcome->transaction);
  std::optional<StatementAnswer> answer;
  const auto run = [&](TransactionStep step) {
    answer.reset();
    transaction->Run(SessionContext(), TargetCommand(), step,
                     [&](StatementAnswer received) { answer = received; });
  };

  SUBCASE("gets its statements in order") {
    run(TransactionStep::kRead);
    CHECK(world.peers.Oldest<ContinueQuery>().name == name);
    CHECK(world.peers.Oldest<ContinueQuery>().sequence == 0);
    world.peers.Answer(ContinueAnswer{true, {}, std::nullopt});
    run(TransactionStep::kWrite);
    CHECK(world.peers.Oldest<ContinueQuery>().sequence == 1);
    world.peers.Answer(ContinueAnswer{true, {}, std::nullopt});

    SUBCASE("and reports the log position of its commit") {
      const LogPoint point{Term{2}, Position{9}};
      run(TransactionStep::kCommit);
      world.peers.Answer(ContinueAnswer{true, {}, point});
      CHECK(transaction->committed_point() == point);
      transaction.reset();
      CHECK(world.peers.pending_queries.empty());
    }

    SUBCASE("is in doubt when the answer to its commit is lost") {
      run(TransactionStep::kCommit);
      world.peers.Answer(std::nullopt);
      REQUIRE(answer.has_value());
      CHECK(answer->error->code == StatementErrorCode::kInDoubt);
    }

    SUBCASE("is aborted when the commit could not be sent") {
      run(TransactionStep::kCommit);
      world.peers.Answer(NotSent{});
      REQUIRE(answer.has_value());
      CHECK(answer->error->code == StatementErrorCode::kAborted);
    }
  }

  SUBCASE("is aborted when an answer before the commit is lost") {
    run(TransactionStep::kWrite);
    world.peers.Answer(std::nullopt);
    REQUIRE(answer.has_value());
    CHECK(answer->error->code == StatementErrorCode::kAborted);

    SUBCASE("and rolled back") {
      transaction.reset();
      REQUIRE(world.peers.pending_queries.size() == 1);
      CHECK(world.peers.Oldest<RollbackQuery>().name == name);
    }
  }

  SUBCASE("is aborted when the home no longer holds it") {
    run(TransactionStep::kCommit);
    world.peers.Answer(ContinueAnswer{});
    REQUIRE(answer.has_value());
    CHECK(answer->error->code == StatementErrorCode::kAborted);
  }

  SUBCASE("is rolled back when its caller disconnects") {
    transaction.reset();
    CHECK(world.peers.Oldest<RollbackQuery>().name == name);
  }
}

TEST_CASE(
    "a transaction whose caller disconnected before it was open is rolled "
    "back") {
  World world;
  const auto number = world.Submit(RequestKind::kBegin);
  world.dispatcher.Cancel(number);
  ForwardAnswer opened = AcceptedAnswer();
  opened.is_open = true;
  world.peers.Answer(opened);
  REQUIRE(world.peers.pending_queries.size() == 1);
  CHECK(std::holds_alternative<RollbackQuery>(
      world.peers.pending_queries.front().query));
}

}  // namespace kingcupmill
