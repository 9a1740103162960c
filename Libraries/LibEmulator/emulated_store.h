#ifndef LIBEMULATOR_EMULATED_STORE_H_
#define LIBEMULATOR_EMULATED_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/lifetime_guard.h"
#include "LibCore/random_source.h"
#include "LibCore/virtual_scheduler.h"
#include "LibEmulator/emulated_traffic.h"
#include "LibTables/row_store.h"

namespace kingcupmill {

// An in-memory stand-in for the platform's store, which keeps the history of
// changes. Its own versions are numbers without an era.
class EmulatedStore {
 public:
  explicit EmulatedStore(Scheduler& scheduler) : scheduler(scheduler) {}

  bool has(const std::string& table, const std::string& key) const;
  // Returns the current rows of a table, or its changes after a version.
  TableRows Snapshot(const std::string& table) const;
  TableRows ChangesSince(const std::string& table, uint64_t version) const;

  ChangeOutcome Apply(const std::string& table, const TableChange& change);

  // Writes or removes one row unconditionally.
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);

  // Calls `wake` once, at the next change of `table`.
  void Await(const std::string& table, std::function<void()> wake);

  // Restores the state of `lost` ago and starts a new era. All later changes
  // are discarded and their versions assigned again.
  void Restore(Duration lost);

  uint64_t newest_version() const { return this->version; }
  uint64_t era() const { return this->current_era; }

 private:
  struct Change {
    std::string table;
    StoreRow row;
    TimePoint made_at{};
  };
  using Table = std::map<std::string, StoreRow>;

  void Write(const std::string& table, StoreRow row);
  void Wake(const std::string& table);

  Scheduler& scheduler;
  std::map<std::string, Table> tables;
  std::vector<Change> changes;
  std::map<std::string, std::vector<std::function<void()>>> waiting;
  uint64_t version = 0;
  uint64_t current_era = 1;
};

// One process's access to the store, with faults.
class EmulatedStoreAccess final : public RowStore {
 public:
  enum class Fault {
    kNone,
    // The store rejects each call after the usual call time and does nothing.
    kRefuses,
    // Calls time out and do nothing.
    kSilent,
    // Changes are applied, but their answers are lost.
    kLosesAnswers,
    // Changes time out and are applied seconds later, if their conditions
    // still hold then.
    kPerformsLate,
  };

  EmulatedStoreAccess(VirtualScheduler& cluster_scheduler,
                      Scheduler& scheduler,
                      EmulatedStore& store,
                      EmulatedTraffic& traffic,
                      uint64_t seed)
      : cluster_scheduler(cluster_scheduler),
        scheduler(scheduler),
        store(store),
        traffic(traffic),
        random(seed) {}

  void SetFault(Fault fault) { this->fault = fault; }

  // Reads of one table get no response from now on.
  void SetSilentTable(std::string_view table) {
    this->silent_table = table;
    this->SilencePolls(table);
  }

  // The connections of all polls that wait fall silent for good. Each poll
  // fails when it times out. Later calls use new connections.
  void SilenceConnections();
  // The same for the polls of one table.
  void SilencePolls(std::string_view table);

  void Read(std::string_view table, DidRead did_read) override;
  void PollChanges(std::string_view table,
                   uint64_t version,
                   Duration wait,
                   DidRead did_read) override;
  void Change(std::string_view table,
              TableChange change,
              DidChange did_change) override;

 private:
  // A poll that the store has not answered yet.
  struct WaitingPoll {
    std::string table;
    bool is_answered = false;
    bool is_silent = false;
  };

  // Returns `read` with the versions of the store's era.
  TableRows WithEra(TableRows read);
  void SilencePolls(std::optional<std::string_view> table);
  template <typename Outcome>
  void Deliver(Duration delay,
               std::function<void(Outcome)> callback,
               Outcome outcome);

  VirtualScheduler& cluster_scheduler;
  Scheduler& scheduler;
  EmulatedStore& store;
  EmulatedTraffic& traffic;
  SeededRandom random;
  Fault fault = Fault::kNone;
  std::string silent_table;
  std::vector<std::weak_ptr<WaitingPoll>> waiting_polls;
  // The era of the newest answer.
  uint64_t known_era = 0;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBEMULATOR_EMULATED_STORE_H_
