#include "LibPrimary/position_proofs.h"

#include <doctest/doctest.h>

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

LogPoint At(uint64_t term, uint64_t position) {
  return LogPoint{Term{term}, Position{position}};
}

}  // namespace

TEST_CASE("proofs of where a log ended") {
  PositionProofs proofs;
  const TimePoint start{seconds(100)};

  SUBCASE("there is none at first") {
    CHECK_FALSE(proofs.Covering(start, Term{0}).has_value());
    CHECK_FALSE(proofs.newest_at().has_value());
  }

  SUBCASE("the oldest that was asked late enough covers a moment") {
    proofs.Add(At(1, 10), start);
    proofs.Add(At(1, 20), start + milliseconds(100));
    proofs.Add(At(1, 30), start + milliseconds(200));
    CHECK(proofs.Covering(start + milliseconds(50), Term{0}) == At(1, 20));
    CHECK(proofs.Covering(start + milliseconds(100), Term{0}) == At(1, 20));

    SUBCASE("and none covers a moment after the last") {
      CHECK_FALSE(
          proofs.Covering(start + milliseconds(201), Term{0}).has_value());
    }

    SUBCASE(
        "after a promotion only those of the new term count for a session "
        "that wrote before") {
      proofs.Add(At(2, 25), start + milliseconds(300));
      CHECK(proofs.Covering(start, Term{2}) == At(2, 25));
    }

    SUBCASE("old ones are forgotten") {
      proofs.Add(At(1, 99), start + seconds(20));
      CHECK(proofs.Covering(start, Term{0}) == At(1, 99));
    }
  }
}

}  // namespace kingcupmill
