#ifndef LIBTABLES_TABLE_FOLLOWER_H_
#define LIBTABLES_TABLE_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "LibCore/life_guard.h"
#include "LibCore/scheduler.h"
#include "LibTables/row_store.h"

namespace kingcupmill {

// Keeps a copy of one table and tells how recent it is.
class TableFollower {
 public:
  using Rows = std::map<std::string, StoreRow>;
  // Called after each successful read, also when nothing has changed.
  using DidUpdate = std::function<void()>;

  struct Options {
    std::string table;
    // How long a long poll waits; a change arrives within milliseconds.
    Duration interval;
    // The pause after a failed read.
    Duration retry_interval = std::chrono::milliseconds(250);
    // The pause after a read that brought changes.
    Duration change_pause{};
  };

  TableFollower(Scheduler& scheduler,
                RowStore& store,
                Options options,
                DidUpdate did_update);

  void Start();

  // Whether the table is read from the store, or copies come from a peer.
  enum class Source { kStore, kPeer };
  void SetSource(Source next);

  // Sets the pause after a failed read.
  void SetRetryInterval(Duration interval) {
    this->options.retry_interval = interval;
  }

  // Sets the pause after a read that brought changes, so that many changes in a
  // row take few reads.
  void SetChangePause(Duration pause) { this->options.change_pause = pause; }

  // Takes since when the store has answered the peer that sends copies. Without
  // effect while the store is read.
  void DidHearOfStore(std::optional<TimePoint> steady_since);

  // Returns what a copy of `version` lacks, or nothing when it lacks nothing.
  std::optional<TableDifference> ChangesSince(uint64_t version) const;

  // Takes what a peer read at `read_at` on this proxy's clock, or later.
  // Changes must start from a version that this copy has had.
  void TakeCopy(const TableDifference& copy, TimePoint read_at);

  // A peer read the table at `version` and `read_at` and found no change since
  // a version that this copy has had.
  void Confirm(uint64_t version, TimePoint read_at);

  const Rows& rows() const { return this->row_by_key; }
  // The version of the store that the copy shows; nothing before the first.
  std::optional<uint64_t> version() const { return this->known_version; }
  // The newest version in which a row is known to have changed.
  uint64_t changed_version() const { return this->newest_change; }
  // When the read was sent that showed this copy.
  TimePoint read_at() const { return this->newest_read_at; }
  // When the store itself answered last; zero time before the first answer.
  TimePoint store_answered_at() const { return this->answered_at; }
  // Since when the store has answered without a failure.
  std::optional<TimePoint> steady_since() const { return this->steady_from; }

 private:
  void Next();
  void DidRead(uint64_t attempt,
               TimePoint sent_at,
               bool is_whole,
               ValueOrError<TableRows> outcome);
  void Apply(const TableRows& read, bool is_whole);
  void Remove(const StoreRow& row);

  Scheduler& scheduler;
  RowStore& store;
  Options options;
  DidUpdate did_update;
  Rows row_by_key;
  std::optional<uint64_t> known_version;
  uint64_t newest_change = 0;
  // Rows that were removed after `removals_since`, with the version.
  std::map<std::string, uint64_t> removed_by_key;
  uint64_t removals_since = 0;
  Source source = Source::kStore;
  bool needs_whole_read = true;
  TimePoint newest_read_at{};
  TimePoint answered_at{};
  std::optional<TimePoint> steady_from;
  uint64_t attempt = 0;
  LifeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBTABLES_TABLE_FOLLOWER_H_
