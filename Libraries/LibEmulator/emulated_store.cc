#include "LibEmulator/emulated_store.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "LibTables/store_timing.h"

namespace kingcupmill {

namespace {

constexpr Duration kCallTime = std::chrono::milliseconds(4);
// The longest part of a late change's delay that is chosen at random.
constexpr uint64_t kMaximumLateChangeMs = 6000;

}  // namespace

bool EmulatedStore::has(const std::string& table,
                        const std::string& key) const {
  const auto found = this->tables.find(table);
  return found != this->tables.end() && found->second.contains(key);
}

TableRows EmulatedStore::Snapshot(const std::string& table) const {
  TableRows read;
  read.version = this->version;
  read.store_time = this->scheduler.Now().time_since_epoch();
  const auto found = this->tables.find(table);
  if (found == this->tables.end())
    return read;
  for (const auto& [key, row] : found->second)
    read.rows.push_back(row);
  return read;
}

TableRows EmulatedStore::ChangesSince(const std::string& table,
                                      uint64_t since) const {
  TableRows read;
  read.version = this->version;
  read.store_time = this->scheduler.Now().time_since_epoch();
  const auto first =
      std::upper_bound(this->changes.begin(), this->changes.end(), since,
                       [](uint64_t bound, const Change& change) {
                         return bound < change.row.version;
                       });
  for (auto change = first; change != this->changes.end(); ++change) {
    if (change->table == table)
      read.rows.push_back(change->row);
  }
  return read;
}

ChangeOutcome EmulatedStore::Apply(const std::string& table,
                                   const TableChange& change) {
  Table& rows = this->tables[table];
  for (const auto& expected : change.expected) {
    const auto row = rows.find(expected.key);
    const uint64_t actual = row == rows.end() ? 0 : row->second.version;
    if (actual != expected.version)
      return ChangeOutcome{};
  }
  ++this->version;
  for (const auto& put : change.puts)
    this->Write(table, StoreRow{put.key, put.value, this->version, false});
  for (const std::string& key : change.removals)
    this->Write(table, StoreRow{key, "", this->version, true});
  const ChangeOutcome outcome{true, this->version};
  this->Wake(table);
  return outcome;
}

void EmulatedStore::Put(const std::string& table,
                        const std::string& key,
                        const std::string& value) {
  TableChange change;
  change.puts.push_back({key, value});
  this->Apply(table, change);
}

void EmulatedStore::Remove(const std::string& table, const std::string& key) {
  TableChange change;
  change.removals.push_back(key);
  this->Apply(table, change);
}

void EmulatedStore::Write(const std::string& table, StoreRow row) {
  if (row.is_removed)
    this->tables[table].erase(row.key);
  else
    this->tables[table].insert_or_assign(row.key, row);
  this->changes.push_back(Change{table, std::move(row), this->scheduler.Now()});
}

void EmulatedStore::Restore(Duration lost) {
  const TimePoint copied_at = this->scheduler.Now() - lost;
  std::vector<Change> kept = std::exchange(this->changes, {});
  std::erase_if(kept, [copied_at](const Change& change) {
    return change.made_at > copied_at;
  });
  this->tables.clear();
  this->version = kept.empty() ? 0 : kept.back().row.version;
  for (Change& change : kept) {
    this->Write(change.table, change.row);
    this->changes.back().made_at = change.made_at;
  }
  ++this->current_era;
}

void EmulatedStore::Await(const std::string& table,
                          std::function<void()> wake) {
  this->waiting[table].push_back(std::move(wake));
}

void EmulatedStore::Wake(const std::string& table) {
  for (auto& wake : std::exchange(this->waiting[table], {}))
    this->scheduler.Post(std::move(wake));
}

TableRows EmulatedStoreAccess::WithEra(TableRows read) {
  this->known_era = this->store.era();
  read.version = MakeStoreVersion(this->known_era, read.version);
  for (StoreRow& row : read.rows)
    row.version = MakeStoreVersion(this->known_era, row.version);
  return read;
}

template <typename Outcome>
void EmulatedStoreAccess::Deliver(Duration delay,
                                  std::function<void(Outcome)> callback,
                                  Outcome outcome) {
  this->scheduler.PostAfter(
      delay, [callback = std::move(callback), outcome = std::move(outcome)] {
        callback(outcome);
      });
}

void EmulatedStoreAccess::Read(std::string_view table, DidRead did_read) {
  this->traffic.DidCallStore();
  using Outcome = ValueOrError<TableRows>;
  if (this->fault == Fault::kRefuses)
    return this->Deliver<Outcome>(kCallTime, did_read,
                                  Error{ErrorCode::kUnavailable, "refused"});
  if (this->fault == Fault::kSilent || table == this->silent_table)
    return this->Deliver<Outcome>(kStoreCallTimeout, did_read,
                                  Error{ErrorCode::kTimeout, "silent"});
  this->Deliver<Outcome>(
      kCallTime, did_read,
      this->WithEra(this->store.Snapshot(std::string(table))));
}

void EmulatedStoreAccess::PollChanges(std::string_view table,
                                      uint64_t version,
                                      Duration wait,
                                      DidRead did_read) {
  this->traffic.DidCallStore();
  using Outcome = ValueOrError<TableRows>;
  if (this->fault == Fault::kRefuses || this->fault == Fault::kSilent ||
      table == this->silent_table)
    return this->Read(table, std::move(did_read));
  const std::string name(table);
  // Answers when the table changes or the wait ends, whichever is first.
  auto poll = std::make_shared<WaitingPoll>();
  poll->table = name;
  auto answer = [this, name, version, poll, did_read] {
    if (poll->is_silent || std::exchange(poll->is_answered, true))
      return;
    if (EraOf(version) != this->store.era())
      return this->Deliver<Outcome>(kCallTime, did_read,
                                    Error{ErrorCode::kNotFound, "restored"});
    this->Deliver<Outcome>(
        kCallTime, did_read,
        this->WithEra(this->store.ChangesSince(name, NumberOf(version))));
  };
  const bool has_changes =
      EraOf(version) != this->store.era() ||
      !this->store.ChangesSince(name, NumberOf(version)).rows.empty();
  if (has_changes)
    return answer();
  // The store outlives the process, so the callback must not.
  this->store.Await(name, this->life.Wrap(answer));
  this->scheduler.PostAfter(wait, answer);
  std::erase_if(this->waiting_polls,
                [](const auto& other) { return other.expired(); });
  this->waiting_polls.push_back(poll);
  this->scheduler.PostAfter(wait + kLongPollAllowance, [poll, did_read] {
    if (!std::exchange(poll->is_answered, true))
      did_read(Error{ErrorCode::kTimeout, "silent"});
  });
}

void EmulatedStoreAccess::SilenceConnections() {
  this->SilencePolls(std::nullopt);
}

void EmulatedStoreAccess::SilencePolls(std::string_view table) {
  this->SilencePolls(std::optional(table));
}

void EmulatedStoreAccess::SilencePolls(std::optional<std::string_view> table) {
  for (const auto& weak : this->waiting_polls) {
    const auto poll = weak.lock();
    if (poll && !poll->is_answered && (!table || poll->table == *table))
      poll->is_silent = true;
  }
}

void EmulatedStoreAccess::Change(std::string_view table,
                                 TableChange change,
                                 DidChange did_change) {
  this->traffic.DidCallStore();
  using Outcome = ValueOrError<ChangeOutcome>;
  if (this->fault == Fault::kRefuses)
    return this->Deliver<Outcome>(kCallTime, did_change,
                                  Error{ErrorCode::kUnavailable, "refused"});
  const Outcome lost = Error{ErrorCode::kTimeout, "no answer"};
  if (this->fault == Fault::kSilent)
    return this->Deliver<Outcome>(kStoreCallTimeout, did_change, lost);
  for (auto& row : change.expected) {
    if (row.version != 0 && EraOf(row.version) < this->known_era)
      return this->Deliver<Outcome>(kCallTime, did_change, ChangeOutcome{});
    row.version = NumberOf(row.version);
  }
  const std::string name(table);
  if (this->fault == Fault::kPerformsLate) {
    const auto delay = std::chrono::milliseconds(
        1000 + this->random.Below(kMaximumLateChangeMs));
    // A change that was sent arrives even if its sender ends.
    this->cluster_scheduler.PostAfter(
        delay,
        [store = &this->store, name, change] { store->Apply(name, change); });
    return this->Deliver<Outcome>(kStoreCallTimeout, did_change, lost);
  }
  ChangeOutcome outcome = this->store.Apply(name, change);
  outcome.version = MakeStoreVersion(this->store.era(), outcome.version);
  if (this->fault == Fault::kLosesAnswers)
    return this->Deliver<Outcome>(kStoreCallTimeout, did_change, lost);
  this->Deliver<Outcome>(kCallTime, did_change, outcome);
}

}  // namespace kingcupmill
