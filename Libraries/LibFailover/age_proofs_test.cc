#include "LibFailover/age_proofs.h"

#include <doctest/doctest.h>

namespace kingcupmill {

TEST_CASE("A proxy proves how old a replica's data is") {
  AgeProofs proofs{AgeProofs::Options{}};
  const TimePoint start{std::chrono::hours(1)};
  const auto at = [&](int64_t ms) { return start + Milliseconds(ms); };

  SUBCASE("nothing is proven before the first proof") {
    CHECK_FALSE(proofs.PositionSince(at(0)));
    CHECK_FALSE(proofs.ProvenAt(Position{5}));
  }

  SUBCASE("with proofs at three times") {
    proofs.Add(at(0), Position{10});
    proofs.Add(at(100), Position{20});
    proofs.Add(at(200), Position{20});

    SUBCASE("a position is as young as the last proof it covers") {
      CHECK(proofs.ProvenAt(Position{9}) == std::nullopt);
      CHECK(proofs.ProvenAt(Position{10}) == at(0));
      CHECK(proofs.ProvenAt(Position{19}) == at(0));
      CHECK(proofs.ProvenAt(Position{25}) == at(200));
    }
    SUBCASE("a stated age needs the first proof within it") {
      CHECK(proofs.PositionSince(at(-50)) == Position{10});
      CHECK(proofs.PositionSince(at(50)) == Position{20});
      CHECK_FALSE(proofs.PositionSince(at(201)));
    }
    SUBCASE("a proof that goes back is ignored") {
      proofs.Add(at(300), Position{15});
      CHECK(proofs.ProvenAt(Position{25}) == at(200));
    }
    SUBCASE("old proofs are forgotten") {
      proofs.Add(at(100'000), Position{30});
      CHECK_FALSE(proofs.ProvenAt(Position{25}));
    }
  }
}

}  // namespace kingcupmill
