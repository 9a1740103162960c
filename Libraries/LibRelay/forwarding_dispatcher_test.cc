#include "LibRelay/forwarding_dispatcher.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
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

struct Fixture {
  explicit Fixture(ZoneTraffic zone_traffic = ZoneTraffic::kFixedPenalty)
      : zone_traffic(zone_traffic) {}

  ZoneTraffic zone_traffic;
  VirtualScheduler scheduler;
  ScriptedPeerLinks peers;
  EventLog event_log{scheduler};
  HomeChooser chooser{PlaceName{"accra-a"}, 1};
  std::vector<Home> homes = {{"a", PlaceName{"accra-a"}},
                             {"b", PlaceName{"tema-c"}}};
  ForwardingDispatcher dispatcher{ForwardingDispatcher::Context{
      scheduler, peers, event_log, chooser, GroupName{"orders"},
      PlaceName{"accra-a"}, [this] { return this->homes; },
      [this] { return this->is_isolated; }, "proxy", zone_traffic}};
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
  Fixture fixture;

  SUBCASE("is forwarded and its answer is passed on") {
    fixture.Submit(RequestKind::kRead);
    REQUIRE(fixture.peers.pending_queries.size() == 1);
    CHECK(fixture.peers.pending_queries.front().address == "a");
    fixture.peers.Answer(AcceptedAnswer());
    REQUIRE(fixture.outcome.has_value());
    CHECK(fixture.outcome->answer.receipt == "receipt");
    CHECK(fixture.dispatcher.open_count() == 0);
  }

  SUBCASE("goes to the home of its customer, on all proxies") {
    fixture.homes.clear();
    for (const char* address : {"a", "b", "c", "d"})
      fixture.homes.push_back({address, PlaceName{"accra-a"}});
    HomeChooser of_another_proxy(PlaceName{"accra-a"}, 99);
    for (const char* name : {"harbour", "museum", "station", "market"}) {
      const CustomerName customer{name};
      DispatchRequest request =
          MakeRequest(RequestKind::kRead, fixture.scheduler.Now());
      request.customer = customer;
      fixture.dispatcher.Submit(std::move(request), [](DispatchOutcome) {});
      CHECK(fixture.peers.pending_queries.front().address ==
            of_another_proxy.Choose(fixture.homes, {}, customer,
                                    fixture.scheduler.Now()));
      CHECK(fixture.peers.Oldest<ForwardQuery>().customer == customer);

      // A lost home is followed by the next one in the customer's order.
      const std::string first = fixture.peers.pending_queries.front().address;
      fixture.peers.Answer(PeerAnswer(NotSent()));
      REQUIRE(fixture.peers.pending_queries.size() == 1);
      CHECK(fixture.peers.pending_queries.front().address ==
            of_another_proxy.Choose(fixture.homes, {first}, customer,
                                    fixture.scheduler.Now()));
      fixture.peers.Answer(AcceptedAnswer());
      fixture.scheduler.RunFor(std::chrono::seconds(1));
    }
  }

  SUBCASE("is refused at once when isolated from the places of all homes") {
    fixture.homes = {{"b", PlaceName{"tema-c"}}};
    fixture.is_isolated = true;
    fixture.Submit(RequestKind::kRead);
    CHECK(fixture.peers.pending_queries.empty());
    CHECK(fixture.error() == StatementErrorCode::kBusy);

    SUBCASE("but not when a home is in the same place") {
      fixture.homes.push_back({"a", PlaceName{"accra-a"}});
      fixture.Submit(RequestKind::kRead);
      CHECK(fixture.peers.pending_queries.size() == 1);
    }
  }

  SUBCASE("measures the silence of homes when none is in the same place") {
    fixture.homes = {{"b", PlaceName{"tema-c"}}};
    fixture.Submit(RequestKind::kRead);
    fixture.scheduler.RunFor(milliseconds(600));
    CHECK(fixture.dispatcher.PrimarySilence() >= milliseconds(600));
    fixture.peers.Answer(AcceptedAnswer());
    CHECK(fixture.dispatcher.PrimarySilence() == Duration(0));
  }

  SUBCASE("brings a report of the primary's silence") {
    fixture.scheduler.RunFor(std::chrono::seconds(10));
    CHECK(fixture.dispatcher.PrimarySilence() == Duration(0));
    ForwardAnswer answer = AcceptedAnswer();
    answer.primary_silence = milliseconds(600);
    fixture.Submit(RequestKind::kRead);
    fixture.peers.Answer(answer);
    CHECK(fixture.dispatcher.PrimarySilence() == milliseconds(600));

    SUBCASE("that expires") {
      fixture.scheduler.RunFor(std::chrono::seconds(2));
      CHECK(fixture.dispatcher.PrimarySilence() == Duration(0));
    }

    SUBCASE("that a home of another place does not replace") {
      fixture.Submit(RequestKind::kRead);
      fixture.peers.Answer(ForwardAnswer{});
      fixture.peers.Answer(AcceptedAnswer());
      CHECK(fixture.dispatcher.PrimarySilence() == milliseconds(600));
    }
  }

  SUBCASE("goes to another home when the first could not be reached") {
    fixture.Submit(RequestKind::kWrite);
    fixture.peers.Answer(NotSent{});
    REQUIRE(fixture.peers.pending_queries.size() == 1);
    CHECK(fixture.peers.pending_queries.front().address == "b");
  }

  SUBCASE("goes to another home when the first declines") {
    fixture.Submit(RequestKind::kWrite);
    fixture.peers.Answer(ForwardAnswer{});
    REQUIRE(fixture.peers.pending_queries.size() == 1);
    CHECK(fixture.peers.pending_queries.front().address == "b");
  }

  SUBCASE(
      "that writes is in doubt, and not sent again, when its answer is lost") {
    fixture.Submit(RequestKind::kWrite);
    fixture.peers.Answer(std::nullopt);
    CHECK(fixture.error() == StatementErrorCode::kInDoubt);
    CHECK(fixture.peers.pending_queries.empty());
  }

  SUBCASE("that reads runs again when its answer is lost") {
    fixture.Submit(RequestKind::kRead);
    fixture.peers.Answer(std::nullopt);
    REQUIRE(fixture.peers.pending_queries.size() == 1);
    CHECK(fixture.peers.pending_queries.front().address == "b");
    fixture.peers.Answer(AcceptedAnswer());
    CHECK_FALSE(fixture.error().has_value());
  }

  SUBCASE("that reads is hedged to a second home while the first is silent") {
    fixture.Submit(RequestKind::kRead);
    const auto silent = fixture.peers.TakeOldest();
    fixture.scheduler.RunFor(milliseconds(260));
    REQUIRE(fixture.peers.pending_queries.size() == 1);
    CHECK(fixture.peers.pending_queries.front().address == "b");
    fixture.peers.Answer(AcceptedAnswer());
    REQUIRE(fixture.outcome.has_value());

    SUBCASE("and the late answer of the first is ignored") {
      fixture.outcome.reset();
      silent.did_answer(AcceptedAnswer());
      CHECK_FALSE(fixture.outcome.has_value());
    }
  }

  SUBCASE(
      "that reads does not fail with the second home while the first may "
      "answer") {
    fixture.Submit(RequestKind::kRead);
    const auto first = fixture.peers.TakeOldest();
    fixture.scheduler.RunFor(milliseconds(260));
    ForwardAnswer refusal = AcceptedAnswer();
    refusal.answer.error =
        StatementError{StatementErrorCode::kBusy, "no time left"};
    fixture.peers.Answer(refusal);
    CHECK_FALSE(fixture.outcome.has_value());
    first.did_answer(AcceptedAnswer());
    REQUIRE(fixture.outcome.has_value());
    CHECK_FALSE(fixture.error().has_value());
  }

  SUBCASE("that writes is not sent again while the home is silent") {
    fixture.Submit(RequestKind::kWrite);
    fixture.peers.TakeOldest();
    fixture.scheduler.RunFor(milliseconds(700));
    CHECK(fixture.peers.pending_queries.empty());
  }

  SUBCASE("without any home is refused as not run, before its latency target") {
    fixture.homes.clear();
    fixture.Submit(RequestKind::kWrite);
    CHECK_FALSE(fixture.outcome.has_value());
    fixture.scheduler.RunFor(milliseconds(70));
    CHECK(fixture.error() == StatementErrorCode::kBusy);
  }

  SUBCASE("waits for a home when there is briefly none") {
    const std::vector<Home> later = std::exchange(fixture.homes, {});
    fixture.Submit(RequestKind::kRead);
    fixture.homes = later;
    fixture.scheduler.RunFor(milliseconds(20));
    CHECK(fixture.peers.pending_queries.size() == 1);
  }
}

TEST_CASE("a transaction that a home holds") {
  Fixture fixture;
  fixture.Submit(RequestKind::kBegin);
  ForwardAnswer opened = AcceptedAnswer();
  opened.is_open = true;
  const std::string name = fixture.peers.Oldest<ForwardQuery>().name;
  fixture.peers.Answer(opened);
  REQUIRE(fixture.outcome->transaction != nullptr);
  auto transaction = std::move(fixture.outcome->transaction);
  std::optional<StatementAnswer> answer;
  const auto run = [&](TransactionStep step) {
    answer.reset();
    transaction->Run(SessionContext(), TargetCommand(), step,
                     [&](StatementAnswer received) { answer = received; });
  };

  SUBCASE("gets its statements in order") {
    run(TransactionStep::kRead);
    CHECK(fixture.peers.Oldest<ContinueQuery>().name == name);
    CHECK(fixture.peers.Oldest<ContinueQuery>().sequence == 0);
    fixture.peers.Answer(ContinueAnswer{true, {}, std::nullopt});
    run(TransactionStep::kWrite);
    CHECK(fixture.peers.Oldest<ContinueQuery>().sequence == 1);
    fixture.peers.Answer(ContinueAnswer{true, {}, std::nullopt});

    SUBCASE("and reports the log position of its commit") {
      const LogPoint point{Term{2}, Position{9}};
      run(TransactionStep::kCommit);
      fixture.peers.Answer(ContinueAnswer{true, {}, point});
      CHECK(transaction->committed_point() == point);
      transaction.reset();
      CHECK(fixture.peers.pending_queries.empty());
    }

    SUBCASE("is in doubt when the answer to its commit is lost") {
      run(TransactionStep::kCommit);
      fixture.peers.Answer(std::nullopt);
      REQUIRE(answer.has_value());
      CHECK(answer->error->code == StatementErrorCode::kInDoubt);
    }

    SUBCASE("is aborted when the commit could not be sent") {
      run(TransactionStep::kCommit);
      fixture.peers.Answer(NotSent{});
      REQUIRE(answer.has_value());
      CHECK(answer->error->code == StatementErrorCode::kAborted);
    }
  }

  SUBCASE("is aborted when an answer before the commit is lost") {
    run(TransactionStep::kWrite);
    fixture.peers.Answer(std::nullopt);
    REQUIRE(answer.has_value());
    CHECK(answer->error->code == StatementErrorCode::kAborted);

    SUBCASE("and rolled back") {
      transaction.reset();
      REQUIRE(fixture.peers.pending_queries.size() == 1);
      CHECK(fixture.peers.Oldest<RollbackQuery>().name == name);
    }
  }

  SUBCASE("is aborted when the home no longer holds it") {
    run(TransactionStep::kCommit);
    fixture.peers.Answer(ContinueAnswer{});
    REQUIRE(answer.has_value());
    CHECK(answer->error->code == StatementErrorCode::kAborted);
  }

  SUBCASE("is rolled back when its caller disconnects") {
    transaction.reset();
    CHECK(fixture.peers.Oldest<RollbackQuery>().name == name);
  }
}

TEST_CASE(
    "a transaction whose caller disconnected before it was open is rolled "
    "back") {
  Fixture fixture;
  const auto number = fixture.Submit(RequestKind::kBegin);
  fixture.dispatcher.Cancel(number);
  ForwardAnswer opened = AcceptedAnswer();
  opened.is_open = true;
  fixture.peers.Answer(opened);
  REQUIRE(fixture.peers.pending_queries.size() == 1);
  CHECK(std::holds_alternative<RollbackQuery>(
      fixture.peers.pending_queries.front().query));
}

TEST_CASE("a proxy whose homes in its own place become slow") {
  // Forwards 400 reads, a third of them after the homes became slow, and
  // returns how many went to the other place.
  const auto forward = [](Fixture& fixture, RequestKind kind) {
    int left = 0;
    for (int statement = 0; statement < 400; ++statement) {
      fixture.Submit(kind);
      const bool leaves = fixture.peers.pending_queries.front().address == "b";
      const bool is_slow = statement > 250 && !leaves;
      left += leaves ? 1 : 0;
      fixture.scheduler.RunFor(milliseconds(is_slow ? 90 : 10));
      fixture.peers.Answer(AcceptedAnswer());
      fixture.scheduler.RunFor(milliseconds(10));
    }
    return left;
  };

  SUBCASE("keeps its statements there with a fixed penalty") {
    Fixture fixture;
    CHECK(forward(fixture, RequestKind::kRead) == 0);
  }

  SUBCASE("lets a share of them leave with an adaptive one") {
    Fixture fixture(ZoneTraffic::kAdaptive);
    const int left = forward(fixture, RequestKind::kRead);
    CHECK(left >= 10);
    CHECK(left <= 140);

    SUBCASE("but not once it is isolated") {
      fixture.is_isolated = true;
      CHECK(forward(fixture, RequestKind::kRead) == 0);
    }
  }

  SUBCASE("keeps its transactions there") {
    Fixture fixture(ZoneTraffic::kAdaptive);
    CHECK(forward(fixture, RequestKind::kBegin) == 0);
  }
}

}  // namespace kingcupmill
