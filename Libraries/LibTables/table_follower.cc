#include "LibTables/table_follower.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace kingcupmill {

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

void TableFollower::TakeCopy(const TableRows& copy, TimePoint read_at) {
  if (copy.version < this->known_version.value_or(0))
    return;
  this->Apply(copy, true);
  this->newest_read_at = std::max(this->newest_read_at, read_at);
  this->did_update();
}

void TableFollower::Confirm(TimePoint read_at) {
  if (read_at <= this->newest_read_at)
    return;
  this->newest_read_at = read_at;
  this->did_update();
}

void TableFollower::Apply(const TableRows& read, bool is_whole) {
  if (is_whole)
    this->row_by_key.clear();
  for (const StoreRow& row : read.rows) {
    if (row.is_removed) {
      this->row_by_key.erase(row.key);
      continue;
    }
    this->row_by_key.insert_or_assign(row.key, row);
  }
  this->known_version = read.version;
}

}  // namespace kingcupmill
