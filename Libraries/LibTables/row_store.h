#ifndef LIBTABLES_ROW_STORE_H_
#define LIBTABLES_ROW_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/error.h"
#include "LibCore/time.h"
#include "LibTables/store_version.h"

namespace kingcupmill {

// One row of a table of the platform's store.
struct StoreRow {
  std::string key;
  std::string value;
  // The version of the store in which the row was written, in the era of the
  // read: a restored row has another version than before.
  uint64_t version = 0;
  // The row was removed in that version. Only set in changes, never in a read
  // of the whole table.
  bool is_removed = false;
  friend bool operator==(const StoreRow&, const StoreRow&) = default;
};

// All rows of a table, or its changes, as of one version of the store.
struct TableRows {
  std::vector<StoreRow> rows;
  uint64_t version = 0;
  // The store's steady clock when it made the answer, or nothing if the store
  // does not say.
  std::optional<Duration> store_time = std::nullopt;
};

// Brings a copy of a table up to a newer version of the store.
struct TableDelta {
  // All rows of the table, or the changes since an older version.
  TableRows rows;
  // Whether `rows` holds the whole table, so that any other row was removed.
  bool is_snapshot = true;
};

// A conditional change of one table, applied atomically if every expected row
// still has its version.
struct TableChange {
  struct Expected {
    std::string key;
    // Zero if the row must not exist.
    uint64_t version = 0;
  };
  struct Put {
    std::string key;
    std::string value;
  };
  std::vector<Expected> expected;
  std::vector<Put> puts;
  std::vector<std::string> removals;
};

// The outcome of a conditional change that the store answered. It was not
// applied if a condition did not hold.
struct ChangeOutcome {
  bool is_applied = false;
  // The version of the store in which the change was applied.
  uint64_t version = 0;
};

// The client interface of the platform's store. A change that fails with
// kTimeout or kUnavailable may have been applied, or may still be applied later
// as long as its conditions hold. Callbacks run on the event loop.
class RowStore {
 public:
  using DidRead = std::function<void(ValueOrError<TableRows>)>;
  using DidChange = std::function<void(ValueOrError<ChangeOutcome>)>;

  virtual ~RowStore() = default;

  // Reads all rows of a table.
  virtual void Read(std::string_view table, DidRead did_read) = 0;

  // Long poll: waits up to `wait` for changes after `version` and returns them,
  // or no rows if there were none. Fails with kNotFound when the store no
  // longer has the changes since then, or was restored; the table must then be
  // read as a whole.
  virtual void PollChanges(std::string_view table,
                           uint64_t version,
                           Duration wait,
                           DidRead did_read) = 0;

  // Applies `change` to a table if its conditions hold. A condition on a
  // version from before the store was restored does not hold.
  virtual void Change(std::string_view table,
                      TableChange change,
                      DidChange did_change) = 0;
};

}  // namespace kingcupmill

#endif  // LIBTABLES_ROW_STORE_H_
