#include "LibPlatform/vm_json.h"

#include <nlohmann/json.hpp>

namespace kingcupmill {

void to_json(nlohmann::json& json, const VmRecord& record) {
  json = {{"name", record.name},
          {"role", record.role == VmRole::kTarget ? "target" : "entry"},
          {"place", record.place.value},
          {"state", record.state == VmState::kLeaving ? "leaving" : "live"},
          {"http_address", record.http_address},
          {"peer_address", record.peer_address}};
}

void from_json(const nlohmann::json& json, VmRecord& record) {
  json.at("name").get_to(record.name);
  record.role = json.value("role", "entry") == "target" ? VmRole::kTarget
                                                        : VmRole::kEntry;
  record.place.value = json.value("place", "");
  record.state = json.value("state", "live") == "leaving" ? VmState::kLeaving
                                                          : VmState::kLive;
  record.http_address = json.value("http_address", "");
  record.peer_address = json.value("peer_address", "");
}

}  // namespace kingcupmill
