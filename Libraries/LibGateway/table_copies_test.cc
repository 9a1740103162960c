#include "LibGateway/table_copies.h"

#include <doctest/doctest.h>

#include "LibCore/virtual_scheduler.h"

namespace kingcupmill {

// The log named the time since the VM's boot as the age of a table that had
// never been read.
TEST_CASE("age of a copied table") {
  VirtualScheduler scheduler;
  class NoStore final : public RowStore {
   public:
    void Read(std::string_view, DidRead) override {}
    void PollChanges(std::string_view, uint64_t, Duration, DidRead) override {}
    void Change(std::string_view, TableChange, DidChange) override {}
  };
  NoStore store;
  TableCache::Options options;
  options.table = "targets";
  options.interval = std::chrono::milliseconds(500);
  TableCache table(scheduler, store, options, [] {});

  SUBCASE("is none before the first read") {
    CHECK(TableCopies::FormatAgeMs(table, scheduler.Now()) == "none");

    SUBCASE("and counts from the read of a copy afterwards") {
      table.SetSource(TableCache::Source::kPeer);
      TableDelta delta;
      delta.rows.version = 7;
      delta.is_snapshot = true;
      table.ApplyDelta(delta, scheduler.Now());
      CHECK(TableCopies::FormatAgeMs(
                table, scheduler.Now() + std::chrono::milliseconds(40)) ==
            "40");
    }
  }
}

}  // namespace kingcupmill
