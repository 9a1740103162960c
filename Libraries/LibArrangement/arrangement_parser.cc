#include "LibArrangement/arrangement_parser.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "LibCore/port.h"
#include "LibToml/toml_section.h"

namespace kingcupmill {

namespace {

constexpr size_t kMaximumNameLength = 64;
// Each proxy needs a control and a work connection, and a second proxy must be
// able to connect before it takes over from the first.
constexpr int64_t kMinimumConnections = 4;
constexpr int64_t kMaximumConnections = 10000;
constexpr int64_t kMaximumSlots = 1024;
constexpr size_t kMinimumGroupSize = 3;

bool is_valid_name(std::string_view name) {
  return !name.empty() && name.size() <= kMaximumNameLength &&
         std::all_of(name.begin(), name.end(), [](unsigned char character) {
           return std::isalnum(character) || character == '-' ||
                  character == '_';
         });
}

bool is_valid_address(std::string_view address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string_view::npos || colon == 0)
    return false;
  return ParsePort(address.substr(colon + 1)).value_or(0) != 0;
}

template <typename NameType>
std::vector<NameType> ToNames(std::vector<std::string> texts) {
  std::vector<NameType> names;
  names.reserve(texts.size());
  for (std::string& text : texts)
    names.push_back(NameType{std::move(text)});
  return names;
}

template <typename NameType>
std::string QuoteNames(std::span<const NameType> names) {
  std::string text = "[";
  for (const NameType& name : names)
    text += (text.size() > 1 ? ", \"" : "\"") + name.value + "\"";
  return text + "]";
}

}  // namespace

Arrangement ArrangementParser::Parse(std::span<const DeclarationFile> files,
                                     std::vector<SettingError>& errors) {
  ArrangementParser parser(errors);
  for (const DeclarationFile& file : files)
    parser.ParseFile(file);
  parser.CheckReferences();
  parser.CheckTargets();
  parser.CheckApplications();
  return std::move(parser.arrangement);
}

ArrangementParser::ArrangementParser(std::vector<SettingError>& errors)
    : errors(errors) {}

void ArrangementParser::ParseFile(const DeclarationFile& file) {
  TomlSection root = TomlSection::Parse(file.text, file.name, this->errors);
  for (TomlSection& section : root.Sections("place"))
    this->ParsePlace(section);
  for (TomlSection& section : root.Sections("group"))
    this->ParseGroup(section);
  for (TomlSection& section : root.Sections("target"))
    this->ParseTarget(section);
  for (TomlSection& section : root.Sections("application"))
    this->ParseApplication(section);
  root.RejectUnknownKeys();
}

std::string ArrangementParser::ParseName(TomlSection& section,
                                         std::string_view kind) {
  std::string name = section.RequiredString("name");
  if (name.empty())
    return name;
  if (!is_valid_name(name)) {
    section.AddError("name",
                     "\"" + name + "\" is not 1 to 64 letters, digits, - or _");
  }
  const auto [location, is_new] = this->locations.emplace(
      std::string(kind) + " " + name, section.location());
  if (!is_new) {
    section.AddError("name", "\"" + name + "\" is declared twice, first at " +
                                 location->second.file + ":" +
                                 std::to_string(location->second.line));
  }
  return name;
}

void ArrangementParser::ParsePlace(TomlSection& section) {
  const PlaceName name{this->ParseName(section, "place")};
  Place place;
  place.region = section.RequiredString("region");
  section.RejectUnknownKeys();
  this->arrangement.places.emplace(name, std::move(place));
}

void ArrangementParser::ParseGroup(TomlSection& section) {
  const GroupName name{this->ParseName(section, "group")};
  Group group;
  group.service = section.RequiredString("service");
  group.targets = ToNames<TargetName>(section.Strings("targets"));
  section.RejectUnknownKeys();
  this->arrangement.groups.emplace(name, std::move(group));
}

void ArrangementParser::ParseTarget(TomlSection& section) {
  const TargetName name{this->ParseName(section, "target")};
  Target target;
  target.place = PlaceName{section.RequiredString("place")};
  target.address = section.RequiredString("address");
  if (!target.address.empty() && !is_valid_address(target.address))
    section.AddError("address", "is not IP:port");
  target.connections =
      section.Integer("connections", target.connections,
                      {kMinimumConnections, kMaximumConnections});
  target.slots = section.Integer("slots", target.slots, {1, kMaximumSlots});
  section.RejectUnknownKeys();
  this->arrangement.targets.emplace(name, std::move(target));
}

void ArrangementParser::ParseApplication(TomlSection& section) {
  const ApplicationName name{this->ParseName(section, "application")};
  Application application;
  const std::string text = section.String("class", "ordinary");
  if (text == "urgent")
    application.priority_class = ApplicationClass::kUrgent;
  else if (text != "ordinary")
    section.AddError("class", "is neither \"urgent\" nor \"ordinary\"");
  application.groups = ToNames<GroupName>(section.Strings("groups"));
  section.RejectUnknownKeys();
  this->arrangement.applications.emplace(name, std::move(application));
}

void ArrangementParser::AddError(std::string_view kind,
                                 const std::string& name,
                                 std::string_view key,
                                 std::string message) {
  const auto location = this->locations.find(std::string(kind) + " " + name);
  SettingError error;
  if (location != this->locations.end())
    error.location = location->second;
  error.key = std::string(kind) + "." + std::string(key);
  error.message = "\"" + name + "\" " + std::move(message);
  this->errors.push_back(std::move(error));
}

void ArrangementParser::CheckReferences() {
  for (const auto& [name, group] : this->arrangement.groups)
    this->CheckGroup(name, group);
  for (const auto& [name, target] : this->arrangement.targets) {
    if (!target.place.value.empty() &&
        !this->arrangement.places.contains(target.place)) {
      this->AddError("target", name.value, "place",
                     "refers to the place \"" + target.place.value +
                         "\", which is not declared");
    }
  }
}

void ArrangementParser::CheckGroup(const GroupName& name, const Group& group) {
  std::set<TargetName> distinct;
  for (const TargetName& target : group.targets) {
    if (!this->arrangement.targets.contains(target)) {
      this->AddError("group", name.value, "targets",
                     "refers to the target \"" + target.value +
                         "\", which is not declared");
    }
    if (!distinct.insert(target).second) {
      this->AddError("group", name.value, "targets",
                     "names the target \"" + target.value + "\" twice");
    }
  }
  if (distinct.size() < kMinimumGroupSize) {
    this->AddError("group", name.value, "targets",
                   "has fewer than 3 targets, so it would lose its majority "
                   "with one of them");
  }
}

void ArrangementParser::CheckTargets() {
  std::map<TargetName, GroupName> owners;
  for (const auto& [group_name, group] : this->arrangement.groups) {
    for (const TargetName& target : group.targets) {
      const auto [owner, is_new] = owners.emplace(target, group_name);
      if (!is_new && owner->second != group_name) {
        this->AddError("group", group_name.value, "targets",
                       "shares the target \"" + target.value +
                           "\" with the group \"" + owner->second.value + "\"");
      }
    }
  }
  std::map<std::string, TargetName> addresses;
  for (const auto& [name, target] : this->arrangement.targets) {
    if (!owners.contains(name))
      this->AddError("target", name.value, "name", "belongs to no group");
    const auto [other, is_new] = addresses.emplace(target.address, name);
    if (!is_new && !target.address.empty()) {
      this->AddError(
          "target", name.value, "address",
          "has the same address as the target \"" + other->second.value + "\"");
    }
  }
}

void ArrangementParser::CheckApplications() {
  for (const auto& [name, application] : this->arrangement.applications) {
    if (application.groups.empty())
      this->AddError("application", name.value, "groups", "grants no group");
    for (const GroupName& group : application.groups) {
      if (!this->arrangement.groups.contains(group)) {
        this->AddError("application", name.value, "groups",
                       "refers to the group \"" + group.value +
                           "\", which is not declared");
      }
    }
  }
}

std::string WriteArrangement(const Arrangement& arrangement) {
  std::string text;
  for (const auto& [name, place] : arrangement.places) {
    text += "[[place]]\nname = \"" + name.value + "\"\nregion = \"" +
            place.region + "\"\n\n";
  }
  for (const auto& [name, group] : arrangement.groups) {
    text += "[[group]]\nname = \"" + name.value + "\"\nservice = \"" +
            group.service +
            "\"\ntargets = " + QuoteNames<TargetName>(group.targets) + "\n\n";
  }
  for (const auto& [name, target] : arrangement.targets) {
    text += "[[target]]\nname = \"" + name.value + "\"\nplace = \"" +
            target.place.value + "\"\naddress = \"" + target.address +
            "\"\nconnections = " + std::to_string(target.connections) +
            "\nslots = " + std::to_string(target.slots) + "\n\n";
  }
  for (const auto& [name, application] : arrangement.applications) {
    const bool is_urgent =
        application.priority_class == ApplicationClass::kUrgent;
    text += "[[application]]\nname = \"" + name.value + "\"\nclass = \"" +
            (is_urgent ? "urgent" : "ordinary") +
            "\"\ngroups = " + QuoteNames<GroupName>(application.groups) +
            "\n\n";
  }
  return text;
}

std::string DigestOfText(std::string_view text) {
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  std::array<char, 33> digits{};
  std::snprintf(digits.data(), digits.size(), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return digits.data();
}

}  // namespace kingcupmill
