#ifndef LIBARRANGEMENT_ARRANGEMENT_H_
#define LIBARRANGEMENT_ARRANGEMENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "LibCore/names.h"

namespace kingcupmill {

// An availability zone.
struct Place {
  std::string region;
  friend bool operator==(const Place&, const Place&) = default;
};

// A database server instance.
struct Target {
  PlaceName place;
  // "IP:port".
  std::string address;
  // The maximum number of connections, summed over all proxies.
  int64_t connections = 16;
  // The number of statements that the target executes concurrently.
  int64_t slots = 2;
  friend bool operator==(const Target&, const Target&) = default;
};

// A replication group of targets that hold the same data.
struct Group {
  // The database service that the group belongs to.
  std::string service;
  std::vector<TargetName> targets;
  friend bool operator==(const Group&, const Group&) = default;
};

// The priority class of an application. Requests of urgent applications are
// queued ahead of ordinary ones.
enum class ApplicationClass { kUrgent, kOrdinary };

// An application and the groups that it may use.
struct Application {
  ApplicationClass priority_class = ApplicationClass::kOrdinary;
  std::vector<GroupName> groups;
  friend bool operator==(const Application&, const Application&) = default;
};

// The complete set of places, groups, targets and applications that the
// operators have declared. Published and applied as one revision.
struct Arrangement {
  std::map<PlaceName, Place> places;
  std::map<GroupName, Group> groups;
  std::map<TargetName, Target> targets;
  std::map<ApplicationName, Application> applications;
  friend bool operator==(const Arrangement&, const Arrangement&) = default;
};

}  // namespace kingcupmill

#endif  // LIBARRANGEMENT_ARRANGEMENT_H_
