#ifndef LIBDIRECTORY_ROUTE_TABLE_H_
#define LIBDIRECTORY_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <string>

#include "LibCore/names.h"
#include "LibCore/time.h"
#include "LibDirectory/customer_table.h"

namespace kingcupmill {

// The consistency of a route's reads.
enum class RouteKind {
  // Reads see every acknowledged commit.
  kPrimary,
  // Reads may see stale data, within the route's staleness bound.
  kBoundedStale,
  // As kBoundedStale, but reads also see every commit of their own session.
  kReadYourWrites,
};

// How the statements for one database are served.
struct CallerRoute {
  RouteKind kind = RouteKind::kPrimary;
  GroupName group;
  // The time limit of one statement.
  Duration statement_timeout = std::chrono::seconds(1);
  // The time within which a whole operation should be answered.
  Duration target_latency = std::chrono::milliseconds(200);
  // 0 is the most urgent.
  int priority = 0;
  // The staleness bound of reads; not used with kPrimary.
  Duration maximum_staleness{};
  // Callers need no key, although customers are declared.
  bool is_open = false;
  friend bool operator==(const CallerRoute&, const CallerRoute&) = default;
};

// The configuration of one group of targets.
struct GroupDeclaration {
  // The connection limit of one target, shared by all proxies.
  int maximum_connections = 1;
  // How many replicas must have a commit before it is acknowledged.
  int synchronous_replicas = 0;
  friend bool operator==(const GroupDeclaration&,
                         const GroupDeclaration&) = default;
};

// One complete, valid revision of the configuration.
struct RouteTable {
  Revision revision;
  std::map<std::string, CallerRoute, std::less<>> route_by_database;
  std::map<GroupName, GroupDeclaration> groups;
  // Empty when the deployment declares no customers.
  CustomerTable customers;
  // An open transaction that is idle for longer may be rolled back.
  Duration transaction_idle_limit = std::chrono::seconds(3);
};

}  // namespace kingcupmill

#endif  // LIBDIRECTORY_ROUTE_TABLE_H_
