#include "LibRelay/loan_server.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

#include "LibDispatch/target_view.h"
#include "LibDispatch/test_home.h"

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kLimit = 3;

CustomerName Customer(size_t number) {
  return CustomerName{"customer-" + std::to_string(number)};
}

}  // namespace

TEST_CASE("loans of connections for a customer") {
  TestHome home(kLimit, 2);
  LoanServer server(home.scheduler,
                    [&](const GroupName&) { return &home.dispatcher; });
  std::optional<PeerAnswer> answer;
  const auto send_answer = [&](const PeerAnswer& received) {
    answer = received;
  };
  const auto is_lent = [&] {
    return answer && std::get<BorrowAnswer>(*answer).is_lent;
  };
  server.Handle(
      BorrowQuery{"loan", TestHome::group(), TestHome::Target(1), Customer(1)},
      send_answer);

  SUBCASE("wait for one that is opened under its name") {
    CHECK_FALSE(answer.has_value());
    home.RunFor(milliseconds(60));
    REQUIRE(is_lent());
    CHECK(home.own_dialer.dialed_for.back() == Customer(1));
    RelayQuery relay;
    relay.loan = "loan";
    relay.timeout = seconds(1);
    TargetCommand command;
    command.kind = TargetCommandKind::kStatement;
    command.text = "for " + Customer(1).value;
    relay.commands = {command};
    server.Handle(relay, send_answer);
    home.RunFor(milliseconds(20));
    CHECK(home.CountOwnStatements() == 1);
    CHECK(home.CountForeignStatements() == 0);
  }

  SUBCASE("are dropped when the borrower gives up") {
    server.Handle(ReturnQuery{"loan"}, send_answer);
    home.RunFor(milliseconds(60));
    CHECK(server.loan_count() == 0);
    CHECK(home.dispatcher.targets()
              .at(TestHome::Target(1))
              ->pool->in_use_count() == 0);
  }

  SUBCASE("stay within the limit of the lender") {
    for (int number = 2; number < 8; ++number)
      server.Handle(BorrowQuery{"loan-" + std::to_string(number),
                                TestHome::group(), TestHome::Target(1),
                                Customer(static_cast<size_t>(number))},
                    send_answer);
    home.RunFor(milliseconds(300));
    CHECK(server.loan_count() <= kLimit);
    CHECK(home.own_dialer.maximum_open <= kLimit);
  }

  SUBCASE("are not given to borrowers that name no customer") {
    home.RunFor(milliseconds(60));
    server.Handle(ReturnQuery{"loan"}, send_answer);
    home.RunFor(milliseconds(60));
    server.Handle(
        BorrowQuery{"other", TestHome::group(), TestHome::Target(1), {}},
        send_answer);
    home.RunFor(milliseconds(60));
    REQUIRE(is_lent());
    RelayQuery relay;
    relay.loan = "other";
    relay.timeout = seconds(1);
    TargetCommand command;
    command.kind = TargetCommandKind::kStatement;
    command.text = "for ";
    relay.commands = {command};
    server.Handle(relay, send_answer);
    home.RunFor(milliseconds(20));
    CHECK(home.CountOwnStatements() == 1);
    CHECK(home.CountForeignStatements() == 0);
  }
}

}  // namespace kingcupmill
