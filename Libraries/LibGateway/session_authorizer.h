#ifndef LIBGATEWAY_SESSION_AUTHORIZER_H_
#define LIBGATEWAY_SESSION_AUTHORIZER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "LibDirectory/route_table.h"
#include "LibDispatch/event_log.h"

namespace kingcupmill {

// The customer on whose behalf a session runs statements.
struct SessionCustomer {
  // Empty where no customers are declared, and for callers of an open route
  // whose key is not known.
  CustomerName name;
  int priority = 0;
  double weight = 1;
};

// Decides by the newest configuration which customer a session belongs to, and
// counts the sessions that were refused or closed because of their key. Neither
// its log lines nor its metrics contain keys.
class SessionAuthorizer {
 public:
  // `routes` is the configuration in force, and changes with it.
  SessionAuthorizer(const std::optional<RouteTable>& routes,
                    EventLog& event_log);

  // Returns the customer for which a session on `database` with `key` may run
  // statements, or nothing if the key is not valid there.
  std::optional<SessionCustomer> Identify(std::string_view database,
                                          std::string_view key) const;

  // A session was not opened because of its key.
  void DidRefuseSession();

  // An open session is being closed because its key is no longer valid.
  void DidCloseSession(uint64_t session_number);

  // Returns the metrics in the Prometheus text format.
  std::string FormatMetrics() const;

 private:
  const std::optional<RouteTable>& routes;
  EventLog& event_log;
  uint64_t refused_sessions = 0;
  uint64_t closed_sessions = 0;
};

}  // namespace kingcupmill

#endif  // LIBGATEWAY_SESSION_AUTHORIZER_H_
