#ifndef LIBDIRECTORY_ROUTE_TABLE_H_
#define LIBDIRECTORY_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <string>

#include "LibCore/names.h"
#include "LibCore/time.h"

namespace kingcupmill {

// Which data a route's reads may see.
enum class RouteKind {
  // Every acknowledged commit.
  kPrimary,
  // Data of at most a stated age.
  kBoundedStale,
  // The same, and every commit of the session itself.
  kReadYourWrites,
};

// How the statements for one database are served.
struct CallerRoute {
  RouteKind kind = RouteKind::kPrimary;
  GroupName group;
  // The longest that one statement may take.
  Duration statement_timeout = std::chrono::seconds(1);
  // Within which a whole operation should be answered.
  Duration response_goal = std::chrono::milliseconds(200);
  // 0 is the most urgent.
  int priority = 0;
  // The largest age of data (not for kPrimary).
  Duration maximum_staleness{};
  friend bool operator==(const CallerRoute&, const CallerRoute&) = default;
};

// What is declared of one group of targets.
struct GroupDeclaration {
  // The most connections that one target takes from all proxies together.
  int maximum_connections = 1;
  // How many replicas must have a commit before it is acknowledged.
  int synchronous_replicas = 0;
  friend bool operator==(const GroupDeclaration&,
                         const GroupDeclaration&) = default;
};

// One accepted configuration, complete.
struct RouteTable {
  Revision revision;
  std::map<std::string, CallerRoute, std::less<>> route_by_database;
  std::map<GroupName, GroupDeclaration> groups;
  // An open transaction that is idle for longer may be ended.
  Duration transaction_idle_limit = std::chrono::seconds(3);
};

}  // namespace kingcupmill

#endif  // LIBDIRECTORY_ROUTE_TABLE_H_
