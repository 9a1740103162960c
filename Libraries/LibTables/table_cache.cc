#include "LibTables/table_cache.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace kingcupmill {

namespace {

// The number of removed rows kept for peers with older copies, which are a few
// seconds behind at most.
constexpr size_t kMaximumRemovedRows = 1024;

}  // namespace

TableCache::TableCache(Scheduler& scheduler,
                       RowStore& store,
                       Options options,
                       DidUpdate did_update,
                       DidTimeOut did_time_out)
    : scheduler(scheduler),
      store(store),
      options(std::move(options)),
      did_update(std::move(did_update)),
      did_time_out(std::move(did_time_out)) {}

void TableCache::Start() {
  this->StartRead();
}

void TableCache::SetSource(Source next) {
  if (next == this->source)
    return;
  this->source = next;
  // Ignores the answer to an outstanding read, which may be older than a copy.
  ++this->read_number;
  this->is_polling = false;
  if (next == Source::kStore)
    this->StartRead();
}

void TableCache::SetAvailableSince(std::optional<TimePoint> available_since) {
  if (this->source == Source::kPeer)
    this->available_from = available_since;
}

void TableCache::StartRead() {
  const uint64_t number = ++this->read_number;
  const TimePoint sent_at = this->scheduler.Now();
  const bool is_snapshot = this->needs_full_read || !this->known_version;
  auto did_read = this->life.Wrap(
      [this, number, sent_at, is_snapshot](ValueOrError<TableRows> outcome) {
        this->DidRead(number, sent_at, is_snapshot, std::move(outcome));
      });
  this->is_polling = !is_snapshot;
  if (is_snapshot) {
    this->connection_opened_at = sent_at;
    return this->store.Read(this->options.table, std::move(did_read));
  }
  this->store.PollChanges(this->options.table, *this->known_version,
                          this->options.interval, std::move(did_read));
}

void TableCache::DidRead(uint64_t number,
                         TimePoint sent_at,
                         bool is_snapshot,
                         ValueOrError<TableRows> outcome) {
  if (number != this->read_number)
    return;
  const TimePoint now = this->scheduler.Now();
  this->is_polling = false;
  Duration pause{};
  if (const auto* error = std::get_if<Error>(&outcome)) {
    pause = this->DidFail(*error, is_snapshot);
  } else {
    if (!this->available_from) {
      spdlog::info("event=store_reached table={}", this->options.table);
      this->available_from = now;
    }
    this->last_answer_at = now;
    const auto& read = std::get<TableRows>(outcome);
    if (!read.rows.empty())
      pause = this->options.change_pause;
    if (read.version >= this->known_version.value_or(0)) {
      if (EraOf(read.version) > EraOf(this->known_version.value_or(0))) {
        // Other writers restore their rows as after an outage.
        this->available_from = now;
        this->store_clock = StoreClock();
      }
      this->Apply(read, is_snapshot);
      this->needs_full_read = false;
      this->newest_read_at =
          std::max(this->newest_read_at,
                   this->store_clock.MadeAt(sent_at, now, read.store_time));
      this->last_update_source = Source::kStore;
      this->did_update();
      this->is_behind_logged = false;
    } else {
      if (!std::exchange(this->is_behind_logged, true))
        spdlog::warn(
            "event=older_answer_ignored table={} era={} number={} "
            "known_era={} known_number={}",
            this->options.table, EraOf(read.version), NumberOf(read.version),
            EraOf(*this->known_version), NumberOf(*this->known_version));
      pause = this->options.retry_interval;
    }
  }
  this->scheduler.PostAfter(pause, this->life.Wrap([this, number] {
    if (number == this->read_number)
      this->StartRead();
  }));
  const auto* error = std::get_if<Error>(&outcome);
  if (!is_snapshot && error && error->code == ErrorCode::kTimeout &&
      this->did_time_out)
    this->did_time_out(sent_at);
}

Duration TableCache::DidFail(const Error& error, bool is_snapshot) {
  this->needs_full_read = true;
  if (error.code == ErrorCode::kNotFound) {
    spdlog::info("event=history_lost table={} number={}", this->options.table,
                 NumberOf(this->known_version.value_or(0)));
    return Duration(0);
  }
  // The store may have discarded the changes since then, so the next read
  // fetches the whole table.
  if (this->available_from)
    spdlog::warn("event=store_lost table={} error=\"{}\"", this->options.table,
                 error.message);
  this->available_from.reset();
  const bool has_poll_timed_out =
      !is_snapshot && error.code == ErrorCode::kTimeout;
  return has_poll_timed_out ? Duration(0) : this->options.retry_interval;
}

void TableCache::ReplaceConnectionFrom(TimePoint time) {
  if (!this->is_polling || this->connection_opened_at >= time)
    return;
  this->DidFail(
      Error{ErrorCode::kTimeout, "a call on another connection has timed out"},
      false);
  this->StartRead();
}

std::optional<TableDelta> TableCache::ChangesSince(uint64_t version) const {
  if (!this->known_version || version >= this->newest_row_version)
    return std::nullopt;
  TableDelta delta;
  delta.rows.version = *this->known_version;
  delta.is_snapshot = version < this->removals_known_since;
  for (const auto& [key, row] : this->row_by_key) {
    if (delta.is_snapshot || row.version > version)
      delta.rows.rows.push_back(row);
  }
  if (delta.is_snapshot)
    return delta;
  for (const auto& [key, removed_in] : this->removed_by_key) {
    if (removed_in > version)
      delta.rows.rows.push_back(StoreRow{key, "", removed_in, true});
  }
  return delta;
}

void TableCache::ApplyDelta(const TableDelta& delta, TimePoint read_at) {
  const bool is_older = delta.rows.version < this->known_version.value_or(0);
  // Changes cannot be applied without the copy they are based on.
  const bool is_base_missing = !delta.is_snapshot && !this->known_version;
  if (is_older || is_base_missing)
    return;
  this->Apply(delta.rows, delta.is_snapshot);
  this->newest_read_at = std::max(this->newest_read_at, read_at);
  this->last_update_source = Source::kPeer;
  this->did_update();
}

void TableCache::ConfirmVersion(uint64_t version, TimePoint read_at) {
  const bool is_older = version < this->known_version.value_or(0);
  if (is_older || !this->known_version || read_at <= this->newest_read_at)
    return;
  this->known_version = version;
  this->newest_read_at = read_at;
  this->did_update();
}

void TableCache::Apply(const TableRows& read, bool is_snapshot) {
  if (this->known_version && EraOf(read.version) > EraOf(*this->known_version))
    spdlog::warn("event=store_restored table={} era={} number={} known={}",
                 this->options.table, EraOf(read.version),
                 NumberOf(read.version), NumberOf(*this->known_version));
  if (is_snapshot) {
    // The rows removed between the previous version and this one are not known.
    this->row_by_key.clear();
    this->removed_by_key.clear();
    this->removals_known_since = read.version;
    this->newest_row_version = read.version;
  }
  for (const StoreRow& row : read.rows) {
    this->newest_row_version = std::max(this->newest_row_version, row.version);
    if (row.is_removed) {
      this->Remove(row);
      continue;
    }
    this->removed_by_key.erase(row.key);
    this->row_by_key.insert_or_assign(row.key, row);
  }
  this->known_version = read.version;
}

void TableCache::Remove(const StoreRow& row) {
  this->row_by_key.erase(row.key);
  this->removed_by_key.insert_or_assign(row.key, row.version);
  if (this->removed_by_key.size() <= kMaximumRemovedRows)
    return;
  // Peers with an older copy get the whole table.
  this->removed_by_key.clear();
  this->removals_known_since = this->newest_row_version;
}

}  // namespace kingcupmill
