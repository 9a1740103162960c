#ifndef LIBCOORDINATION_COORDINATION_VIEW_H_
#define LIBCOORDINATION_COORDINATION_VIEW_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/names.h"
#include "LibCore/time.h"
#include "LibPrimary/primary_record.h"
#include "LibTables/table_follower.h"

namespace kingcupmill {

// One proxy as the store knows it. The address is its key: whoever registers at
// an address has replaced whoever was there.
struct MemberRecord {
  // Where other proxies reach it ("IP:port").
  std::string address;
  VmName vm;
  PlaceName place;
  // Tells one start of a proxy from the next.
  std::string incarnation;
  // It did not answer for so long that nobody waits for it; it must register
  // again before it may use a primary.
  bool is_gone = false;
  // The groups whose primaries it may use: it has connections to their targets
  // and serves other proxies too. Whoever replaces a primary waits for these
  // members only.
  std::set<GroupName> home_of;
  uint64_t version = 0;
};

// Who may order promotions.
struct DutyRecord {
  VmName holder;
  // Grows each time that the duty is taken.
  uint64_t epoch = 0;
  bool is_held = false;
  // Tells one write of the holder from the next.
  std::string nonce;
  uint64_t version = 0;
};

// The rows of the table that all proxies share, decoded.
class CoordinationView {
 public:
  // The table's name in the store.
  static constexpr std::string_view kTable = "kingcupmill";
  static constexpr std::string_view kDutyKey = "duty";

  static std::string MemberKey(std::string_view address);
  static std::string PrimaryKey(const GroupName& group);
  static std::string Encode(const MemberRecord& member);
  static std::string Encode(const PrimaryRecord& primary);
  static std::string Encode(const DutyRecord& duty);

  // Decodes the rows that are new or have changed, at `now`; a row that cannot
  // be read is logged and left out. Returns whether anything changed.
  bool Update(const TableFollower::Rows& rows, TimePoint now);

  const std::map<std::string, MemberRecord>& members() const {
    return this->member_by_address;
  }
  const std::vector<PrimaryRecord>& primaries() const {
    return this->primary_records;
  }
  const DutyRecord& duty() const { return this->duty_record; }
  // When this proxy first saw the newest row of the duty.
  TimePoint duty_seen_at() const { return this->duty_changed_at; }
  // When this proxy first saw that a member is gone.
  std::optional<TimePoint> gone_seen_at(const std::string& address) const;

 private:
  void DecodeRow(const StoreRow& row, TimePoint now);
  void Forget(const std::string& key);

  // The version of each row that has been decoded.
  std::map<std::string, uint64_t> version_by_key;
  std::map<std::string, MemberRecord> member_by_address;
  std::map<std::string, TimePoint> gone_at_by_address;
  std::vector<PrimaryRecord> primary_records;
  DutyRecord duty_record;
  TimePoint duty_changed_at{};
};

}  // namespace kingcupmill

#endif  // LIBCOORDINATION_COORDINATION_VIEW_H_
