#ifndef LIBCOORDINATION_COORDINATION_VIEW_H_
#define LIBCOORDINATION_COORDINATION_VIEW_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "LibCoordination/replica_roster.h"
#include "LibCore/names.h"
#include "LibCore/time.h"
#include "LibPrimary/primary_record.h"
#include "LibTables/table_cache.h"

namespace kingcupmill {

// A proxy's row in the coordination table, keyed by address: a registration
// replaces the row of any earlier proxy at the same address.
struct MemberRecord {
  // Address for requests from other proxies ("IP:port").
  std::string address;
  VmName vm;
  PlaceName place;
  // Unique per process start, so that a restart is recognized.
  std::string incarnation;
  // Declared dead after it left queries unanswered for too long. Handovers do
  // not wait for it, and it must register again before it may use a primary.
  bool is_gone = false;
  // Barred from leases after it left queries unanswered. It remains a home, and
  // registers again as soon as it sees this.
  bool is_barred = false;
  // How long a read of the store entitles it to use a primary. Nothing in the
  // rows of earlier versions, which cannot be barred either.
  std::optional<Duration> lease_length;
  // The groups whose primaries it may use. It holds connections to their
  // targets and also serves requests that other proxies forward. A handover
  // waits only for the homes of its group.
  std::set<GroupName> home_of;
  uint64_t version = 0;
  // As in PrimaryRecord.
  std::optional<uint64_t> written_era;

  // Whether reads of the store grant it leases.
  bool has_leases() const { return !this->is_gone && !this->is_barred; }
};

// The row of the coordinator, the only proxy that may order promotions.
struct CoordinatorRecord {
  VmName holder;
  // Increases each time that the lease is acquired anew.
  uint64_t epoch = 0;
  bool is_held = false;
  // Unique per write of the holder.
  std::string nonce;
  uint64_t version = 0;
  // As in PrimaryRecord.
  std::optional<uint64_t> written_era;
};

// The decoded rows of the coordination table that all proxies share.
class CoordinationView {
 public:
  // Name of the table in the store.
  static constexpr std::string_view kTable = "kingcupmill";
  static constexpr std::string_view kCoordinatorKey = "duty";

  static std::string MemberKey(std::string_view address);
  static std::string PrimaryKey(const GroupName& group);
  static std::string RosterKey(const GroupName& group);
  // `era` is the era of the store that the writer has read last.
  static std::string Encode(const MemberRecord& member, uint64_t era);
  static std::string Encode(const PrimaryRecord& primary, uint64_t era);
  static std::string Encode(const CoordinatorRecord& coordinator, uint64_t era);
  static std::string Encode(const ReplicaRoster& roster, uint64_t era);

  // Decodes the rows that are new or changed since the last call, from a table
  // as of `version`. A malformed row is logged and treated as absent. `now` is
  // recorded as the time at which changes were first seen. Returns whether any
  // row was added, changed or removed.
  bool Update(const TableCache::Rows& rows, uint64_t version, TimePoint now);

  const std::map<std::string, MemberRecord>& members() const {
    return this->member_by_address;
  }
  // The records written in the current era.
  const std::vector<PrimaryRecord>& primaries() const {
    return this->primary_records;
  }
  // Returns the record that was restored from a backup and not written again
  // since; null if the group has none.
  const PrimaryRecord* FindRestoredPrimary(const GroupName& group) const;
  // Returns the roster of a group, also one that was restored; null if it has
  // none.
  const ReplicaRoster* FindRoster(const GroupName& group) const;
  // Returns the newest record that this proxy has seen in an earlier era; null
  // if there is none.
  const PrimaryRecord* FindEarlierPrimary(const GroupName& group) const;
  // Returns the addresses of the members that are homes of a group now or were
  // when the store was restored, as far as this proxy knows.
  std::set<std::string> RecentHomes(const GroupName& group) const;
  // As above, for the homes of any group.
  std::set<std::string> RecentHomes() const;

  // The era of the store in which the table was last read.
  uint64_t era() const { return EraOf(this->table_version.value_or(0)); }
  // When this proxy first read the table in that era.
  TimePoint era_seen_at() const { return this->era_changed_at; }
  // Whether this proxy has also read the table in an earlier era.
  bool has_earlier_era() const { return this->earlier_version.has_value(); }

  const CoordinatorRecord& coordinator() const {
    return this->coordinator_record;
  }
  // When this proxy first saw the newest version of the coordinator's row.
  TimePoint coordinator_seen_at() const { return this->coordinator_changed_at; }
  // When this proxy first saw the newest version of a member's row; empty
  // without a row.
  std::optional<TimePoint> member_seen_at(const std::string& address) const;
  // When this proxy first saw the member's process registered for the groups of
  // its row; empty without a row.
  std::optional<TimePoint> registration_seen_at(
      const std::string& address) const;

 private:
  template <typename Predicate>
  std::set<std::string> RecentMembers(Predicate is_wanted) const;
  void DidChangeEra(TimePoint now);
  void DecodeRow(const StoreRow& row, TimePoint now);
  void EraseRecord(const std::string& key);

  // The version of each decoded row, by key.
  std::map<std::string, uint64_t> version_by_key;
  std::map<std::string, MemberRecord> member_by_address;
  struct Seen {
    TimePoint row_at{};
    TimePoint registration_at{};
    std::string incarnation;
    std::set<GroupName> home_of;
  };
  std::map<std::string, Seen> seen_by_address;
  std::vector<PrimaryRecord> primary_records;
  std::map<GroupName, PrimaryRecord> restored_by_group;
  std::map<GroupName, PrimaryRecord> earlier_by_group;
  std::map<GroupName, ReplicaRoster> roster_by_group;
  // The version and the members that this proxy knew at the end of the previous
  // era.
  std::optional<uint64_t> earlier_version;
  std::map<std::string, MemberRecord> earlier_members;
  std::optional<uint64_t> table_version;
  TimePoint era_changed_at{};
  CoordinatorRecord coordinator_record;
  TimePoint coordinator_changed_at{};
};

}  // namespace kingcupmill

#endif  // LIBCOORDINATION_COORDINATION_VIEW_H_
