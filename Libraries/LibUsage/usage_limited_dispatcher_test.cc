#include "LibUsage/usage_limited_dispatcher.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "LibCore/virtual_scheduler.h"
#include "LibPeer/scripted_peer_links.h"

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;

// Keeps the requests it gets until the test finishes them.
class HeldDispatcher final : public RequestDispatcher {
 public:
  RequestNumber Submit(DispatchRequest, DispatchCallback did_finish) override {
    this->callbacks.push_back(std::move(did_finish));
    if (this->refuses)
      this->Finish(StatementErrorCode::kBusy);
    return this->callbacks.size();
  }
  void Cancel(RequestNumber number) override {
    this->cancelled.push_back(number);
  }
  void Finish(std::optional<StatementErrorCode> error = std::nullopt) {
    DispatchOutcome outcome;
    if (error)
      outcome.answer.error = StatementError{*error, "not run"};
    this->callbacks.back()(std::move(outcome));
  }
  std::vector<DispatchCallback> callbacks;
  std::vector<RequestNumber> cancelled;
  bool refuses = false;
};

DispatchRequest RequestOf(const std::string& customer) {
  DispatchRequest request;
  request.customer.value = customer;
  request.route.target_latency = milliseconds(200);
  return request;
}

// A proxy whose customer "limited" has its account at another proxy.
struct Fixture {
  Fixture() {
    CustomerTable table;
    CustomerDeclaration declaration;
    (void)table.Add(CustomerName{"free"}, declaration, {});
    declaration.usage_limit = UsageLimit{10, 10};
    (void)table.Add(CustomerName{"limited"}, declaration, {});
    this->usage.SetCustomers(table);
    this->usage.SetMembers({{"holder", "1", PlaceName{"a"}}});
    this->dispatcher = std::make_unique<UsageLimitedDispatcher>(
        this->usage, [this] { return this->found; });
  }

  RequestDispatcher::RequestNumber Submit(const std::string& customer) {
    return this->dispatcher->Submit(RequestOf(customer),
                                    [this](DispatchOutcome outcome) {
                                      ++this->finished;
                                      this->outcome = std::move(outcome);
                                      if (this->did_finish)
                                        this->did_finish();
                                    });
  }
  void Grant(uint64_t count, Duration wait = Duration(0)) {
    UsageAnswer answer;
    answer.is_holder = true;
    answer.is_granting = true;
    answer.granted = count;
    answer.wait = wait;
    this->peers.Answer(answer);
  }
  const std::string& message() const {
    return this->outcome->answer.error->message;
  }

  VirtualScheduler scheduler;
  ScriptedPeerLinks peers;
  EventLog event_log{scheduler};
  UsageService usage{
      UsageService::Context{scheduler, peers, event_log, "self", PlaceName{"a"},
                            [this] { return this->scheduler.Now(); }, 1}};
  HeldDispatcher inner;
  RequestDispatcher* found = &inner;
  std::unique_ptr<UsageLimitedDispatcher> dispatcher;
  int finished = 0;
  std::function<void()> did_finish;
  std::optional<DispatchOutcome> outcome;
};

}  // namespace

TEST_CASE_FIXTURE(Fixture, "requests under usage limits") {
  SUBCASE("without a limit go straight through") {
    const auto without_customer = this->Submit("");
    this->Submit("free");
    CHECK(this->inner.callbacks.size() == 2);
    CHECK(this->peers.pending_queries.empty());
    this->inner.Finish();
    CHECK(this->finished == 1);
    this->dispatcher->Cancel(without_customer);
    CHECK(this->inner.cancelled == std::vector<uint64_t>{1});
  }

  SUBCASE("wait for a token") {
    const auto number = this->Submit("limited");
    CHECK(this->inner.callbacks.empty());
    CHECK(this->peers.Oldest<UsageQuery>().wanted == 1);
    CHECK(this->peers.pending_queries.front().address == "holder");

    SUBCASE("and run once it is granted") {
      this->Grant(1);
      REQUIRE(this->inner.callbacks.size() == 1);
      CHECK(this->finished == 0);

      SUBCASE("and finish once") {
        this->inner.Finish();
        CHECK(this->finished == 1);
        CHECK_FALSE(this->outcome->answer.error.has_value());
        // A request that has finished cannot be cancelled.
        this->dispatcher->Cancel(number);
        CHECK(this->inner.cancelled.empty());
      }

      SUBCASE("and are cancelled where they run") {
        this->dispatcher->Cancel(number);
        CHECK(this->inner.cancelled == std::vector<uint64_t>{1});
      }

      SUBCASE("and return the token if they did not run") {
        this->inner.Finish(StatementErrorCode::kBusy);
        CHECK(this->finished == 1);
        this->Submit("limited");
        CHECK(this->inner.callbacks.size() == 2);
      }

      SUBCASE("and keep the token if they may have run") {
        this->inner.Finish(StatementErrorCode::kInDoubt);
        this->Submit("limited");
        CHECK(this->inner.callbacks.size() == 1);
      }

      SUBCASE("and finish after the dispatcher is gone") {
        this->dispatcher.reset();
        this->inner.Finish();
        CHECK(this->finished == 1);
      }
    }

    SUBCASE("which may be refused within Submit()") {
      this->inner.refuses = true;
      this->Grant(1);
      CHECK(this->finished == 1);
      CHECK(this->dispatcher->waiting_count() == 0);
    }

    SUBCASE("and are refused when it comes too late") {
      this->Grant(0, milliseconds(900));
      CHECK(this->finished == 1);
      CHECK(this->outcome->answer.error->code == StatementErrorCode::kBusy);
      CHECK(this->message().starts_with("over the usage limit; retry after "));
      // Later ones are refused at once.
      this->Submit("limited");
      CHECK(this->finished == 2);
    }

    SUBCASE("and are refused when no holder answers") {
      this->scheduler.RunFor(milliseconds(60));
      CHECK(this->finished == 1);
      CHECK(this->message().starts_with("usage limit unknown; retry after "));
    }

    SUBCASE("and may be cancelled meanwhile") {
      this->dispatcher->Cancel(number);
      this->Grant(1);
      CHECK(this->inner.callbacks.empty());
      CHECK(this->finished == 0);
    }

    SUBCASE("and are dropped when the dispatcher is destroyed") {
      this->dispatcher.reset();
      this->Grant(1);
      this->scheduler.RunFor(milliseconds(200));
      CHECK(this->finished == 0);
    }

    SUBCASE("and run when the limit is removed") {
      this->usage.SetCustomers(CustomerTable());
      CHECK(this->inner.callbacks.size() == 1);
      this->inner.Finish();
      CHECK(this->finished == 1);
    }

    SUBCASE("and may be cancelled by another one when the limit is removed") {
      RequestDispatcher::RequestNumber other = 0;
      this->inner.refuses = true;
      this->did_finish = [&] { this->dispatcher->Cancel(other); };
      other = this->Submit("limited");
      this->usage.SetCustomers(CustomerTable());
      CHECK(this->inner.callbacks.size() == 1);
      CHECK(this->finished == 1);
    }
  }

  SUBCASE("are refused when the group has lost its targets meanwhile") {
    this->found = nullptr;
    this->Submit("limited");
    this->Grant(1);
    CHECK(this->finished == 1);
    CHECK(this->message() == "no targets");
  }

  SUBCASE("are told to return one after the other") {
    this->Submit("limited");
    this->Grant(0, milliseconds(900));
    std::vector<std::string> messages = {this->message()};
    for (int count = 0; count < 3; ++count) {
      this->Submit("limited");
      CHECK(this->message() != messages.back());
      messages.push_back(this->message());
    }
  }
}

}  // namespace kingcupmill
