#ifndef LIBTABLES_TABLE_CACHE_H_
#define LIBTABLES_TABLE_CACHE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "LibCore/lifetime_guard.h"
#include "LibCore/scheduler.h"
#include "LibTables/row_store.h"
#include "LibTables/store_clock.h"

namespace kingcupmill {

// Caches one table of the store and tracks how recent the copy is. The copy is
// kept up to date by long polls to the store, or with copies from a peer.
class TableCache {
 public:
  using Rows = std::map<std::string, StoreRow>;
  // Called after each successful read or copy, even if nothing has changed.
  using DidUpdate = std::function<void()>;
  // Called when a poll got no response, with the time at which it was sent.
  using DidTimeOut = std::function<void(TimePoint)>;

  struct Options {
    std::string table;
    // How long a long poll waits if nothing changes; a change ends the wait
    // within milliseconds.
    Duration interval;
    // The pause after a failed read of the whole table, or after one that the
    // store rejected. A poll that timed out is followed by a read at once,
    // since its connection may have died while the store works.
    Duration retry_interval = std::chrono::milliseconds(250);
    // The pause after a read that brought changes.
    Duration change_pause{};
  };

  TableCache(Scheduler& scheduler,
             RowStore& store,
             Options options,
             DidUpdate did_update,
             DidTimeOut did_time_out = nullptr);

  void Start();

  // The name of the table in the store.
  const std::string& table() const { return this->options.table; }

  // Whether the table is read from the store or copied from a peer.
  enum class Source { kStore, kPeer };
  // Starts or stops reading the store. The answer to an outstanding read is
  // ignored, since it may be older than a copy that arrives meanwhile.
  void SetSource(Source next);

  // Reads the table again at once if it is polled on a connection that was
  // opened before `time`. Called when a call sent then has timed out: what
  // ended its connection may have ended earlier ones too.
  void ReplaceConnectionFrom(TimePoint time);

  // Sets the pause after a failed read.
  void SetRetryInterval(Duration interval) {
    this->options.retry_interval = interval;
  }

  // Sets the pause after a read that brought changes, so that one read fetches
  // a burst of changes.
  void SetChangePause(Duration pause) { this->options.change_pause = pause; }

  // Sets since when the store has answered the peer that sends copies without a
  // failure, or nothing if it does not answer. Has no effect while the store is
  // read.
  void SetAvailableSince(std::optional<TimePoint> available_since);

  // Returns the delta from a copy at `version` to this one, or nothing if that
  // copy needs no rows.
  std::optional<TableDelta> ChangesSince(uint64_t version) const;

  // Applies a delta that a peer read from the store. `read_at` is a lower bound
  // of the time of that read, on this proxy's clock. A delta that is not a full
  // table must start from a version that this copy has had. Older deltas are
  // ignored.
  void ApplyDelta(const TableDelta& delta, TimePoint read_at);

  // Records that a peer read the table at `version` and `read_at` and found no
  // change since a version that this copy has had.
  void ConfirmVersion(uint64_t version, TimePoint read_at);

  const Rows& rows() const { return this->row_by_key; }
  // The version of the store that the copy reflects, or nothing before the
  // first read.
  std::optional<uint64_t> version() const { return this->known_version; }
  // The newest version in which a row of the table is known to have changed.
  uint64_t last_changed_version() const { return this->newest_row_version; }
  // The copy was current then: a lower bound of when the store made the answer
  // that confirmed it.
  TimePoint read_at() const { return this->newest_read_at; }
  // Where the newest update came from.
  Source updated_from() const { return this->last_update_source; }
  // When the store last answered this proxy itself; the epoch before the first
  // answer.
  TimePoint store_answered_at() const { return this->last_answer_at; }
  // Since when the store has answered without a failure, or nothing if the last
  // read failed or none was answered yet. While copies come from a peer, this
  // is what the peer reported.
  std::optional<TimePoint> available_since() const {
    return this->available_from;
  }

 private:
  void StartRead();
  void DidRead(uint64_t number,
               TimePoint sent_at,
               bool is_snapshot,
               ValueOrError<TableRows> outcome);
  // Notes that a read failed with `error` and returns the pause until the next.
  Duration DidFail(const Error& error, bool is_snapshot);
  void Apply(const TableRows& read, bool is_snapshot);
  void Remove(const StoreRow& row);

  Scheduler& scheduler;
  RowStore& store;
  Options options;
  DidUpdate did_update;
  DidTimeOut did_time_out;
  Rows row_by_key;
  std::optional<uint64_t> known_version;
  uint64_t newest_row_version = 0;
  // The versions in which rows were removed, complete for those after
  // `removals_known_since`.
  std::map<std::string, uint64_t> removed_by_key;
  uint64_t removals_known_since = 0;
  Source source = Source::kStore;
  Source last_update_source = Source::kStore;
  bool needs_full_read = true;
  StoreClock store_clock;
  TimePoint newest_read_at{};
  TimePoint last_answer_at{};
  std::optional<TimePoint> available_from;
  // An answer older than the copy has been logged since the last newer one.
  bool is_behind_logged = false;
  // When the last read of the whole table was sent, which opened the connection
  // of the polls since.
  TimePoint connection_opened_at{};
  bool is_polling = false;
  // Incremented with each read and change of source, so that the answers to
  // earlier reads are ignored.
  uint64_t read_number = 0;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBTABLES_TABLE_CACHE_H_
