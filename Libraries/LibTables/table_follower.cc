#include "LibTables/table_follower.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace kingcupmill {

namespace {

// Removed rows that are remembered for those who have older copies; followers
// are a few seconds behind at most.
constexpr size_t kMaximumRemoved = 1024;

}  // namespace

TableFollower::TableFollower(Scheduler& scheduler,
                             RowStore& store,
                             Options options,
                             DidUpdate did_update)
    : scheduler(scheduler),
      store(store),
      options(std::move(options)),
      did_update(std::move(did_update)) {}

void TableFollower::Start() {
  this->Next();
}

void TableFollower::SetSource(Source next) {
  if (next == this->source)
    return;
  this->source = next;
  // What is under way is ignored; its answer may be older than a copy.
  ++this->attempt;
  if (next == Source::kStore)
    this->Next();
}

void TableFollower::DidHearOfStore(std::optional<TimePoint> steady_since) {
  if (this->source == Source::kPeer)
    this->steady_from = steady_since;
}

void TableFollower::Next() {
  const uint64_t number = ++this->attempt;
  const TimePoint sent_at = this->scheduler.Now();
  const bool is_whole = this->needs_whole_read || !this->known_version;
  auto did_read = this->life.Wrap(
      [this, number, sent_at, is_whole](ValueOrError<TableRows> outcome) {
        this->DidRead(number, sent_at, is_whole, std::move(outcome));
      });
  if (is_whole)
    return this->store.Read(this->options.table, std::move(did_read));
  this->store.Follow(this->options.table, *this->known_version,
                     this->options.interval, std::move(did_read));
}

void TableFollower::DidRead(uint64_t number,
                            TimePoint sent_at,
                            bool is_whole,
                            ValueOrError<TableRows> outcome) {
  if (number != this->attempt)
    return;
  const TimePoint now = this->scheduler.Now();
  Duration pause{};
  if (const auto* error = std::get_if<Error>(&outcome)) {
    const bool is_history_lost = error->code == ErrorCode::kNotFound;
    if (is_history_lost) {
      spdlog::info("event=history_lost table={} version={}",
                   this->options.table, this->known_version.value_or(0));
      this->needs_whole_read = true;
      pause = Duration(0);
    } else {
      if (this->steady_from)
        spdlog::warn("event=store_lost table={} error=\"{}\"",
                     this->options.table, error->message);
      this->steady_from.reset();
      // A silent store may have dropped the changes; read whole on return.
      this->needs_whole_read = true;
      pause = this->options.retry_interval;
    }
  } else {
    if (!this->steady_from) {
      spdlog::info("event=store_reached table={}", this->options.table);
      this->steady_from = now;
    }
    this->answered_at = now;
    const auto& read = std::get<TableRows>(outcome);
    if (!read.rows.empty())
      pause = this->options.change_pause;
    if (read.version >= this->known_version.value_or(0)) {
      this->Apply(read, is_whole);
      this->needs_whole_read = false;
      this->newest_read_at = std::max(this->newest_read_at, sent_at);
      this->did_update();
    }
  }
  this->scheduler.PostAfter(pause, this->life.Wrap([this, number] {
    if (number == this->attempt)
      this->Next();
  }));
}

std::optional<TableDifference> TableFollower::ChangesSince(
    uint64_t version) const {
  if (!this->known_version || version >= this->newest_change)
    return std::nullopt;
  TableDifference difference;
  difference.rows.version = *this->known_version;
  difference.is_whole = version < this->removals_since;
  for (const auto& [key, row] : this->row_by_key) {
    if (difference.is_whole || row.version > version)
      difference.rows.rows.push_back(row);
  }
  if (difference.is_whole)
    return difference;
  for (const auto& [key, removed_in] : this->removed_by_key) {
    if (removed_in > version)
      difference.rows.rows.push_back(StoreRow{key, "", removed_in, true});
  }
  return difference;
}

void TableFollower::TakeCopy(const TableDifference& copy, TimePoint read_at) {
  const bool is_older = copy.rows.version < this->known_version.value_or(0);
  // Changes mean nothing without what they change.
  const bool lacks_base = !copy.is_whole && !this->known_version;
  if (is_older || lacks_base)
    return;
  this->Apply(copy.rows, copy.is_whole);
  this->newest_read_at = std::max(this->newest_read_at, read_at);
  this->did_update();
}

void TableFollower::Confirm(uint64_t version, TimePoint read_at) {
  const bool is_older = version < this->known_version.value_or(0);
  if (is_older || !this->known_version || read_at <= this->newest_read_at)
    return;
  this->known_version = version;
  this->newest_read_at = read_at;
  this->did_update();
}

void TableFollower::Apply(const TableRows& read, bool is_whole) {
  if (is_whole) {
    // What was removed between the last version and this one is not known.
    this->row_by_key.clear();
    this->removed_by_key.clear();
    this->removals_since = read.version;
    this->newest_change = read.version;
  }
  for (const StoreRow& row : read.rows) {
    this->newest_change = std::max(this->newest_change, row.version);
    if (row.is_removed) {
      this->Remove(row);
      continue;
    }
    this->removed_by_key.erase(row.key);
    this->row_by_key.insert_or_assign(row.key, row);
  }
  this->known_version = read.version;
}

void TableFollower::Remove(const StoreRow& row) {
  this->row_by_key.erase(row.key);
  this->removed_by_key.insert_or_assign(row.key, row.version);
  if (this->removed_by_key.size() <= kMaximumRemoved)
    return;
  // Who has an older copy gets all rows.
  this->removed_by_key.clear();
  this->removals_since = this->newest_change;
}

}  // namespace kingcupmill
