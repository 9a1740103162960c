#include "LibDirectory/customer_table.h"

#include <doctest/doctest.h>

#include <vector>

namespace kingcupmill {

TEST_CASE("the declared customers") {
  CustomerTable customers;
  const CustomerName acme{"acme"};
  const CustomerName globex{"globex"};
  CHECK(customers.empty());
  REQUIRE(customers.Add(acme, {.priority = 2, .usage_limit = {}},
                        std::vector<std::string>{"key-1", "key-2"}));

  SUBCASE("are found by each of their keys and by name") {
    CHECK_FALSE(customers.empty());
    REQUIRE(customers.FindByKey("key-2") != nullptr);
    CHECK(*customers.FindByKey("key-2") == acme);
    CHECK(customers.FindByKey("key-3") == nullptr);
    CHECK(customers.FindByKey("") == nullptr);
    CHECK(customers.Find(acme)->priority == 2);
    CHECK(customers.Find(globex) == nullptr);
  }

  SUBCASE("may have no key") {
    CHECK(customers.Add(globex, {}, {}).has_value());
    CHECK(customers.Find(globex) != nullptr);
  }

  SUBCASE("are not added with an invalid name or key") {
    const auto add = [&](const CustomerName& name,
                         const std::vector<std::string>& keys) {
      const auto added = customers.Add(name, {}, keys);
      REQUIRE_FALSE(added.has_value());
      CHECK(added.error().code == ErrorCode::kInvalidInput);
      return added.error().message;
    };
    CHECK(add(CustomerName{}, {"key-3"}) == "a customer has no name");
    CHECK(add(acme, {"key-3"}) == "customer acme is declared twice");
    CHECK(add(globex, {"key-3", "key-1"}) ==
          "customers acme and globex have the same key");
    const std::string repeated = "customer globex has an empty or repeated key";
    CHECK(add(globex, {"key-3", "key-3"}) == repeated);
    CHECK(add(globex, {""}) == repeated);

    SUBCASE("and nothing of the rejected entry is kept") {
      CHECK(customers.FindByKey("key-3") == nullptr);
      CHECK(customers.declarations().size() == 1);
    }
  }
}

}  // namespace kingcupmill
