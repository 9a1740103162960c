#include "LibStatement/session_context.h"

#include <doctest/doctest.h>

namespace kingcupmill {

TEST_CASE("session context") {
  SessionContext context;

  SUBCASE("is full with too many entries") {
    for (int count = 0; count < 512; ++count) {
      CHECK_FALSE(context.is_full(2));
      context.Set("name" + std::to_string(count), "1");
    }
    CHECK(context.is_full(2));
  }
  // Values of legal size once took 512 MiB in one session.
  SUBCASE("is full with too many bytes in a few entries") {
    context.Set("large", std::string(600'000, 'a'));
    CHECK_FALSE(context.is_full(300'000));
    context.Prepare("statement", PreparedShape{StatementAccess::kRead,
                                               std::string(300'000, 'a')});
    CHECK(context.is_full(300'000));

    SUBCASE("and has room again after an entry was closed") {
      context.Close("statement");
      CHECK_FALSE(context.is_full(300'000));
    }
  }
  // A limit on the session must not refuse a message of legal size.
  SUBCASE("has room for the largest value that a message can carry") {
    CHECK_FALSE(context.is_full(size_t{1} << 20U));
  }
}

}  // namespace kingcupmill
