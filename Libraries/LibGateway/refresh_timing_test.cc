#include "LibGateway/refresh_timing.h"

#include <doctest/doctest.h>

namespace kingcupmill {

namespace {

// How soon a confirmed configuration must be in force, at a site of a few
// proxies per place and at a grown one (`config_apply_ms`).
constexpr Duration kSmallApplyTime = std::chrono::milliseconds(3000);
constexpr Duration kGrownApplyTime = std::chrono::milliseconds(5000);

}  // namespace

// Guards against time-outs and pauses that each look short and add up to more
// than the time in which a configuration must be in force.
TEST_CASE("the time to refresh copies after connections fell silent") {
  SUBCASE("is below the bound of a small site at readers of the store") {
    CHECK(RefreshAfterSilence() < kSmallApplyTime);
    CHECK(RefreshAfterSilenceOfOneTable() < kSmallApplyTime);
  }
  SUBCASE("is below the bound of a small site behind a reader") {
    CHECK(RefreshBehindReader() < kSmallApplyTime);
  }
  SUBCASE("is below the bound of a grown site behind a reader that failed") {
    CHECK(RefreshBehindFailedReader() < kGrownApplyTime);
  }
  SUBCASE("ends before proxies behind readers give up on them") {
    // A copy may be as old as one poll of the reader when the silence begins.
    CHECK(kLeasePollInterval + RefreshBehindReader() < kFallbackAge);
    CHECK(kFallbackAge + kStoreCallTimeout > kGrownApplyTime);
    CHECK(kFallbackAge + kAnswerTime < kGrownApplyTime);
  }
}

}  // namespace kingcupmill
