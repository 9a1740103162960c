#include "LibGateway/session_authorizer.h"

#include <fmt/format.h>

namespace kingcupmill {

SessionAuthorizer::SessionAuthorizer(const std::optional<RouteTable>& routes,
                                     EventLog& event_log)
    : routes(routes), event_log(event_log) {}

std::optional<SessionCustomer> SessionAuthorizer::Identify(
    std::string_view database,
    std::string_view key) const {
  SessionCustomer customer;
  if (!this->routes || this->routes->customers.empty())
    return customer;
  const CustomerName* name = this->routes->customers.FindByKey(key);
  if (!name) {
    const auto route = this->routes->route_by_database.find(database);
    const bool is_open =
        route != this->routes->route_by_database.end() && route->second.is_open;
    return is_open ? std::optional(customer) : std::nullopt;
  }
  customer.name = *name;
  if (const auto* declaration = this->routes->customers.Find(*name)) {
    customer.priority = declaration->priority;
    // A rate of 0 must not become a weight, by which shares are divided.
    if (declaration->usage_limit && declaration->usage_limit->rate > 0)
      customer.weight = declaration->usage_limit->rate;
  }
  return customer;
}

void SessionAuthorizer::DidRefuseSession() {
  ++this->refused_sessions;
  // The database is left out: a caller may have sent its key in that place.
  this->event_log.Write(EventLog::Kind::kRefused,
                        "event=session_refused reason=key");
}

void SessionAuthorizer::DidCloseSession(uint64_t session_number) {
  ++this->closed_sessions;
  this->event_log.Write(EventLog::Kind::kRefused,
                        "event=session_closed reason=key session={}",
                        session_number);
}

std::string SessionAuthorizer::FormatMetrics() const {
  return fmt::format(
      "# TYPE kingcupmill_sessions_refused_total counter\n"
      "kingcupmill_sessions_refused_total{{reason=\"key\"}} {}\n"
      "# TYPE kingcupmill_sessions_closed_total counter\n"
      "kingcupmill_sessions_closed_total{{reason=\"key\"}} {}\n",
      this->refused_sessions, this->closed_sessions);
}

}  // namespace kingcupmill
