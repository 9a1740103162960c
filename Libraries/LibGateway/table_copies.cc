#include "LibGateway/table_copies.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace kingcupmill {

TableCopies::TableCopies(Context context) : context(std::move(context)) {}

std::array<TableCache*, 3> TableCopies::Caches() const {
  return {&this->context.configuration, &this->context.targets,
          &this->context.coordination};
}

std::vector<uint64_t> TableCopies::CachedVersions() const {
  std::vector<uint64_t> versions;
  for (const TableCache* cache : this->Caches())
    versions.push_back(cache->version().value_or(0));
  return versions;
}

StoreCopyAnswer TableCopies::Make(const StoreCopyQuery& query) {
  const TimePoint now = this->context.scheduler.Now();
  StoreCopyAnswer answer;
  size_t index = 0;
  for (const TableCache* cache : this->Caches()) {
    const uint64_t known =
        index < query.versions.size() ? query.versions[index] : 0;
    ++index;
    if (!cache->version())
      continue;
    TableCopy copy;
    copy.table = cache->table();
    copy.version = *cache->version();
    copy.age = now - cache->read_at();
    if (const auto since = cache->available_since())
      copy.available_for = now - *since;
    copy.delta = cache->ChangesSince(known);
    if (copy.delta && cache == &this->context.configuration)
      this->RemoveKeys(*copy.delta);
    answer.tables.push_back(std::move(copy));
  }
  answer.position_samples = this->context.position_samples();
  return answer;
}

void TableCopies::RemoveKeys(TableDelta& delta) {
  for (StoreRow& row : delta.rows.rows) {
    if (row.value.empty())
      continue;
    if (row.value != this->original_value) {
      this->shared_value = this->context.codec.RemoveKeys(row.value);
      this->original_value = row.value;
    }
    row.value = this->shared_value;
  }
}

std::string TableCopies::FormatAgeMs(const TableCache& table, TimePoint now) {
  return table.version()
             ? fmt::format("{}", ToMilliseconds(now - table.read_at()))
             : "none";
}

void TableCopies::Apply(const StoreCopyAnswer& answer, TimePoint requested_at) {
  // The peer received the query after it was sent and held it; the ages in its
  // answer are as of the end of that. This makes the copies look older than
  // they are, never newer.
  const TimePoint made_at = requested_at + answer.held;
  for (const TableCopy& copy : answer.tables) {
    const auto caches = this->Caches();
    const auto cache = std::find_if(
        caches.begin(), caches.end(),
        [&](const TableCache* known) { return known->table() == copy.table; });
    if (cache == caches.end())
      continue;
    const TimePoint read_at = made_at - copy.age;
    std::optional<TimePoint> available_since;
    if (copy.available_for)
      available_since = this->context.scheduler.Now() - *copy.available_for;
    (*cache)->SetAvailableSince(available_since);
    if (copy.delta)
      (*cache)->ApplyDelta(*copy.delta, read_at);
    else
      (*cache)->ConfirmVersion(copy.version, read_at);
  }
  for (const PositionSampleCopy& sample : answer.position_samples) {
    if (GroupDispatcher* dispatcher =
            this->context.find_dispatcher(sample.group))
      dispatcher->AddPositionSample(sample.position, made_at - sample.age);
  }
}

}  // namespace kingcupmill
