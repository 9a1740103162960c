#include "LibRelay/forwarding_group.h"

#include <doctest/doctest.h>

#include <optional>
#include <utility>

#include "LibCore/virtual_scheduler.h"
#include "LibDispatch/event_journal.h"
#include "LibPeer/scripted_peer_links.h"

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;

enum class Kind { kRead, kWrite, kBegin };

WorkRequest Request(Kind kind, TimePoint now) {
  WorkRequest request;
  request.route.group = GroupName{"orders"};
  request.route.statement_timeout = milliseconds(800);
  request.route.response_goal = milliseconds(200);
  request.command.kind = kind == Kind::kBegin ? TargetCommandKind::kBegin
                                              : TargetCommandKind::kStatement;
  request.command.request_id = "id";
  request.is_write = kind == Kind::kWrite;
  request.opens_transaction = kind == Kind::kBegin;
  request.record = std::make_shared<SessionRecord>();
  request.received_at = now;
  return request;
}

ForwardAnswer Served() {
  ForwardAnswer answer;
  answer.is_taken = true;
  answer.answer.receipt = "receipt";
  return answer;
}

struct World {
  VirtualScheduler scheduler;
  ScriptedPeerLinks peers;
  EventJournal journal{scheduler};
  HomeChooser chooser{PlaceName{"accra-a"}, 1};
  std::vector<Home> homes = {{"a", PlaceName{"accra-a"}},
                             {"b", PlaceName{"tema-c"}}};
  ForwardingGroup group{ForwardingGroup::Context{
      scheduler, peers, journal, chooser, GroupName{"orders"},
      PlaceName{"accra-a"}, [this] { return this->homes; },
      [this] { return this->is_cut_off; }, "proxy"}};
  bool is_cut_off = false;
  std::optional<WorkOutcome> outcome;

  GroupAccess::WorkNumber Submit(Kind kind) {
    return this->group.Submit(
        Request(kind, this->scheduler.Now()),
        [this](WorkOutcome ended) { this->outcome = std::move(ended); });
  }
  std::optional<StatementErrorCode> error() const {
    if (!this->outcome || !this->outcome->answer.error)
      return std::nullopt;
    return this->outcome->answer.error->code;
  }
};

}  // namespace

TEST_CASE("a statement of a group that this proxy is no home of") {
  World world;

  SUBCASE("is forwarded and its answer is passed on") {
    world.Submit(Kind::kRead);
    REQUIRE(world.peers.questions.size() == 1);
    CHECK(world.peers.questions.front().address == "a");
    world.peers.Answer(Served());
    REQUIRE(world.outcome.has_value());
    CHECK(world.outcome->answer.receipt == "receipt");
    CHECK(world.group.open_count() == 0);
  }

  SUBCASE("is refused at once where every home is out of reach") {
    world.homes = {{"b", PlaceName{"tema-c"}}};
    world.is_cut_off = true;
    world.Submit(Kind::kRead);
    CHECK(world.peers.questions.empty());
    CHECK(world.error() == StatementErrorCode::kBusy);

    SUBCASE("but not where a home is in the same place") {
      world.homes.push_back({"a", PlaceName{"accra-a"}});
      world.Submit(Kind::kRead);
      CHECK(world.peers.questions.size() == 1);
    }
  }

  SUBCASE("shows that homes are silent where none is in the same place") {
    world.homes = {{"b", PlaceName{"tema-c"}}};
    world.Submit(Kind::kRead);
    world.scheduler.RunFor(milliseconds(600));
    CHECK(world.group.PrimarySilence() >= milliseconds(600));
    world.peers.Answer(Served());
    CHECK(world.group.PrimarySilence() == Duration(0));
  }

  SUBCASE("brings word of the primary") {
    world.scheduler.RunFor(std::chrono::seconds(10));
    CHECK(world.group.PrimarySilence() == Duration(0));
    ForwardAnswer answer = Served();
    answer.primary_silence = milliseconds(600);
    world.Submit(Kind::kRead);
    world.peers.Answer(answer);
    CHECK(world.group.PrimarySilence() == milliseconds(600));

    SUBCASE("that holds for a moment") {
      world.scheduler.RunFor(std::chrono::seconds(2));
      CHECK(world.group.PrimarySilence() == Duration(0));
    }

    SUBCASE("but not from a home of another place") {
      world.Submit(Kind::kRead);
      world.peers.Answer(ForwardAnswer{});
      world.peers.Answer(Served());
      CHECK(world.group.PrimarySilence() == milliseconds(600));
    }
  }

  SUBCASE("goes to another home when the first could not be reached") {
    world.Submit(Kind::kWrite);
    world.peers.Answer(NotSent{});
    REQUIRE(world.peers.questions.size() == 1);
    CHECK(world.peers.questions.front().address == "b");
  }

  SUBCASE("goes to another home when the first declines") {
    world.Submit(Kind::kWrite);
    world.peers.Answer(ForwardAnswer{});
    REQUIRE(world.peers.questions.size() == 1);
    CHECK(world.peers.questions.front().address == "b");
  }

  SUBCASE("that writes is in doubt when its answer is lost, and sent once") {
    world.Submit(Kind::kWrite);
    world.peers.Answer(std::nullopt);
    CHECK(world.error() == StatementErrorCode::kInDoubt);
    CHECK(world.peers.questions.empty());
  }

  SUBCASE("that reads runs again when its answer is lost") {
    world.Submit(Kind::kRead);
    world.peers.Answer(std::nullopt);
    REQUIRE(world.peers.questions.size() == 1);
    CHECK(world.peers.questions.front().address == "b");
    world.peers.Answer(Served());
    CHECK_FALSE(world.error().has_value());
  }

  SUBCASE("that reads is sent once more while the first home is silent") {
    world.Submit(Kind::kRead);
    const auto silent = world.peers.TakeOldest();
    world.scheduler.RunFor(milliseconds(260));
    REQUIRE(world.peers.questions.size() == 1);
    CHECK(world.peers.questions.front().address == "b");
    world.peers.Answer(Served());
    REQUIRE(world.outcome.has_value());

    SUBCASE("and the late answer changes nothing") {
      world.outcome.reset();
      silent.did_answer(Served());
      CHECK_FALSE(world.outcome.has_value());
    }
  }

  SUBCASE("that reads is not refused while the first home may answer") {
    world.Submit(Kind::kRead);
    const auto first = world.peers.TakeOldest();
    world.scheduler.RunFor(milliseconds(260));
    ForwardAnswer refusal = Served();
    refusal.answer.error =
        StatementError{StatementErrorCode::kBusy, "no time left"};
    world.peers.Answer(refusal);
    CHECK_FALSE(world.outcome.has_value());
    first.did_answer(Served());
    REQUIRE(world.outcome.has_value());
    CHECK_FALSE(world.error().has_value());
  }

  SUBCASE("that writes is not sent again while the home is silent") {
    world.Submit(Kind::kWrite);
    world.peers.TakeOldest();
    world.scheduler.RunFor(milliseconds(700));
    CHECK(world.peers.questions.empty());
  }

  SUBCASE("without any home is refused as not run, early") {
    world.homes.clear();
    world.Submit(Kind::kWrite);
    CHECK_FALSE(world.outcome.has_value());
    world.scheduler.RunFor(milliseconds(70));
    CHECK(world.error() == StatementErrorCode::kBusy);
  }

  SUBCASE("without a home for a moment waits for one") {
    const std::vector<Home> later = std::exchange(world.homes, {});
    world.Submit(Kind::kRead);
    world.homes = later;
    world.scheduler.RunFor(milliseconds(20));
    CHECK(world.peers.questions.size() == 1);
  }
}

TEST_CASE("a transaction that a home holds") {
  World world;
  world.Submit(Kind::kBegin);
  ForwardAnswer opened = Served();
  opened.is_open = true;
  const std::string name = world.peers.Oldest<ForwardQuery>().name;
  world.peers.Answer(opened);
  REQUIRE(world.outcome->transaction != nullptr);
  auto transaction = std::move(world.outcome->transaction);
  std::optional<StatementAnswer> answer;
  const auto run = [&](TransactionStep step) {
    answer.reset();
    transaction->Run(SessionRecord(), TargetCommand(), step,
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

    SUBCASE("and tells where its commit is") {
      const LogPoint point{Term{2}, Position{9}};
      run(TransactionStep::kCommit);
      world.peers.Answer(ContinueAnswer{true, {}, point});
      CHECK(transaction->committed_point() == point);
      transaction.reset();
      CHECK(world.peers.questions.empty());
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
      REQUIRE(world.peers.questions.size() == 1);
      CHECK(world.peers.Oldest<EndQuery>().name == name);
    }
  }

  SUBCASE("is aborted when the home has ended it") {
    run(TransactionStep::kCommit);
    world.peers.Answer(ContinueAnswer{});
    REQUIRE(answer.has_value());
    CHECK(answer->error->code == StatementErrorCode::kAborted);
  }

  SUBCASE("is rolled back when its caller leaves") {
    transaction.reset();
    CHECK(world.peers.Oldest<EndQuery>().name == name);
  }
}

TEST_CASE("a transaction whose caller left before it was open is rolled back") {
  World world;
  const auto number = world.Submit(Kind::kBegin);
  world.group.Cancel(number);
  ForwardAnswer opened = Served();
  opened.is_open = true;
  world.peers.Answer(opened);
  REQUIRE(world.peers.questions.size() == 1);
  CHECK(std::holds_alternative<EndQuery>(world.peers.questions.front().query));
}

}  // namespace kingcupmill
