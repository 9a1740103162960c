#include "LibGateway/session_authorizer.h"

#include <doctest/doctest.h>

#include <vector>

#include "LibCore/virtual_scheduler.h"

namespace kingcupmill {

TEST_CASE("the customer of a session") {
  VirtualScheduler scheduler;
  EventLog event_log(scheduler);
  std::optional<RouteTable> routes;
  SessionAuthorizer authorizer(routes, event_log);

  SUBCASE("is not checked without a configuration") {
    REQUIRE(authorizer.Identify("orders", "any").has_value());
  }

  routes.emplace();
  routes->route_by_database["orders"] = CallerRoute{};
  CallerRoute open_route;
  open_route.is_open = true;
  routes->route_by_database["status"] = open_route;

  SUBCASE("is not checked while no customers are declared") {
    const auto customer = authorizer.Identify("orders", "any");
    REQUIRE(customer.has_value());
    CHECK(customer->name == CustomerName{});
    CHECK(customer->priority == 0);
    CHECK(customer->weight == 1);
  }

  CustomerDeclaration declaration;
  declaration.priority = 3;
  declaration.usage_limit = UsageLimit{40, 80};
  REQUIRE(routes->customers.Add(CustomerName{"acme"}, declaration,
                                std::vector<std::string>{"secret"}));
  REQUIRE(routes->customers.Add(CustomerName{"globex"}, {},
                                std::vector<std::string>{"other"}));
  REQUIRE(routes->customers.Add(CustomerName{"blocked"},
                                {.priority = 0, .usage_limit = UsageLimit{}},
                                std::vector<std::string>{"zero"}));

  SUBCASE("has its declared priority, and its rate as the weight") {
    const auto customer = authorizer.Identify("orders", "secret");
    REQUIRE(customer.has_value());
    CHECK(customer->name == CustomerName{"acme"});
    CHECK(customer->priority == 3);
    CHECK(customer->weight == 40);
  }

  SUBCASE("has the weight 1 without a rate or with the rate 0") {
    CHECK(authorizer.Identify("orders", "other")->weight == 1);
    CHECK(authorizer.Identify("orders", "zero")->weight == 1);
  }

  SUBCASE("is nothing for an unknown key") {
    CHECK_FALSE(authorizer.Identify("orders", "unknown").has_value());
    CHECK_FALSE(authorizer.Identify("orders", "").has_value());
    CHECK_FALSE(authorizer.Identify("no-database", "unknown").has_value());
  }

  SUBCASE("on an open route needs no key, but a known key counts") {
    CHECK(authorizer.Identify("status", "")->name == CustomerName{});
    CHECK(authorizer.Identify("status", "unknown")->name == CustomerName{});
    CHECK(authorizer.Identify("status", "secret")->name ==
          CustomerName{"acme"});
  }

  SUBCASE("follows a key that moves to another customer") {
    RouteTable changed;
    REQUIRE(changed.customers.Add(CustomerName{"globex"}, {},
                                  std::vector<std::string>{"secret"}));
    routes = changed;
    CHECK(authorizer.Identify("orders", "secret")->name ==
          CustomerName{"globex"});
  }

  SUBCASE("is counted when a session is refused or closed") {
    authorizer.DidRefuseSession();
    authorizer.DidRefuseSession();
    authorizer.DidCloseSession(7);
    const std::string metrics = authorizer.FormatMetrics();
    CHECK(
        metrics.find("kingcupmill_sessions_refused_total{reason=\"key\"} 2") !=
        std::string::npos);
    CHECK(metrics.find("kingcupmill_sessions_closed_total{reason=\"key\"} 1") !=
          std::string::npos);
  }
}

}  // namespace kingcupmill
