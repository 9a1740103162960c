#include "LibProxy/primary_row.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

namespace kingcupmill {

// Guards against a row of another writer that ends the proxy.
TEST_CASE("the row of a group's primary") {
  CHECK(DecodePrimaryRowTerm(EncodePrimaryRow(TargetName{"a"}, Term{7})) ==
        Term{7});
  for (const char* odd :
       {"", "{", "[]", "7", "null", "{}", R"({"term":"x"})", R"({"term":null})",
        R"({"term":[7]})", R"({"term":-7})", R"({"term":1.5})"}) {
    CAPTURE(odd);
    CHECK(DecodePrimaryRowTerm(odd) == Term{0});
  }
  CHECK(rc::check("any bytes", [](const std::string& bytes) {
    // Must not throw; random bytes may happen to be a row.
    (void)DecodePrimaryRowTerm(bytes);
  }));
}

}  // namespace kingcupmill
