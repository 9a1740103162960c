#ifndef LIBTABLES_ROW_STORE_H_
#define LIBTABLES_ROW_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/error.h"
#include "LibCore/time.h"

namespace kingcupmill {

// One row of a table of the platform's store.
struct StoreRow {
  std::string key;
  std::string value;
  // The version of the store in which the row was written.
  uint64_t version = 0;
  // The row was removed in that version (only in changes).
  bool is_removed = false;
  friend bool operator==(const StoreRow&, const StoreRow&) = default;
};

// All rows of a table, or its changes, as of one version of the store.
struct TableRows {
  std::vector<StoreRow> rows;
  uint64_t version = 0;
};

// What brings a copy of a table up to a newer version of the store.
struct TableDifference {
  // The changes since an older version, or all rows.
  TableRows rows;
  // All rows: what is not among them has been removed.
  bool is_whole = true;
};

// A conditional change of one table; applied whole or not at all.
struct TableChange {
  struct Expected {
    std::string key;
    // Zero: there is no such row.
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

// The outcome of a conditional change that the store answered.
struct ChangeOutcome {
  bool is_applied = false;
  // The version in which it was applied.
  uint64_t version = 0;
};

// The platform's store. A call that fails with kTimeout or kUnavailable may
// have taken effect, and may take effect later while its conditions hold.
// Callbacks come on the event loop.
class RowStore {
 public:
  using DidRead = std::function<void(ValueOrError<TableRows>)>;
  using DidChange = std::function<void(ValueOrError<ChangeOutcome>)>;

  virtual ~RowStore() = default;

  // Reads a whole table.
  virtual void Read(std::string_view table, DidRead did_read) = 0;

  // Waits up to `wait` for changes after `version`. Fails with kNotFound when
  // the store no longer has the changes since then.
  virtual void Follow(std::string_view table,
                      uint64_t version,
                      Duration wait,
                      DidRead did_read) = 0;

  virtual void Change(std::string_view table,
                      TableChange change,
                      DidChange did_change) = 0;
};

}  // namespace kingcupmill

#endif  // LIBTABLES_ROW_STORE_H_
