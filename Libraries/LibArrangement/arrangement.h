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

// A database server.
struct Target {
  PlaceName place;
  // "IP:port".
  std::string address;
  // The connections that all proxies together may open.
  int64_t connections = 16;
  // The statements that it runs at once.
  int64_t slots = 2;
  friend bool operator==(const Target&, const Target&) = default;
};

// A database group: targets that hold the same data.
struct Group {
  // The service that the group is a part of.
  std::string service;
  std::vector<TargetName> targets;
  friend bool operator==(const Group&, const Group&) = default;
};

// Urgent applications are queued ahead of ordinary ones.
enum class ApplicationClass { kUrgent, kOrdinary };

// An application and what it may use.
struct Application {
  ApplicationClass priority_class = ApplicationClass::kOrdinary;
  std::vector<GroupName> groups;
  friend bool operator==(const Application&, const Application&) = default;
};

// Everything the operators have declared, checked as a whole.
struct Arrangement {
  std::map<PlaceName, Place> places;
  std::map<GroupName, Group> groups;
  std::map<TargetName, Target> targets;
  std::map<ApplicationName, Application> applications;
  friend bool operator==(const Arrangement&, const Arrangement&) = default;
};

}  // namespace kingcupmill

#endif  // LIBARRANGEMENT_ARRANGEMENT_H_
