#include "LibWire/percent_encoding.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

namespace kingcupmill {

TEST_CASE("texts in paths and queries") {
  SUBCASE("have their reserved characters escaped") {
    CHECK(EncodeQueryValue("old rack/14") == "old%20rack%2F14");
    CHECK(EncodeQueryValue("a&b=c#d+e%f") == "a%26b%3Dc%23d%2Be%25f");
    CHECK(EncodeQueryValue("A-z_0.9~") == "A-z_0.9~");
    CHECK(EncodeQueryValue("\xc3\xa9\n") == "%C3%A9%0A");
    CHECK(EncodePath("promotion/old rack?") == "promotion/old%20rack%3F");
  }

  SUBCASE("are found again whatever their bytes are") {
    CHECK(rc::check("any bytes", [](const std::string& text) {
      const std::string encoded = EncodeQueryValue(text);
      RC_ASSERT(DecodePercent(encoded) == text);
      RC_ASSERT(DecodePercent(EncodePath(text)) == text);
      RC_ASSERT(FindQueryValue("table=t&from=" + encoded + "&limit=1",
                               "from") == text);
    }));
  }

  SUBCASE("are not decoded if an escape is incomplete") {
    for (const char* encoded : {"%", "a%2", "%zz", "%+1", "%-1", "%%"}) {
      CAPTURE(encoded);
      CHECK_FALSE(DecodePercent(encoded).has_value());
    }
  }

  SUBCASE("are missing if the query has no such parameter") {
    CHECK_FALSE(FindQueryValue("xfrom=1&from", "from").has_value());
    CHECK(FindQueryValue("from=", "from") == "");
  }
}

}  // namespace kingcupmill
