#include "LibStandins/replication_log.h"

#include <utility>

#include "LibCore/verify.h"

namespace kingcupmill {

LogPoint ReplicationLog::last() const {
  const Position position{this->entries.size()};
  return LogPoint{this->TermAt(position), position};
}

Term ReplicationLog::TermAt(Position position) const {
  if (position.value == 0)
    return Term{};
  return this->At(position)->term;
}

bool ReplicationLog::has(Position position) const {
  return position.value <= this->entries.size();
}

const ReplicationLog::EntryPointer& ReplicationLog::At(
    Position position) const {
  KINGCUPMILL_VERIFY(position.value >= 1 &&
                     position.value <= this->entries.size());
  return this->entries[position.value - 1];
}

void ReplicationLog::Append(EntryPointer entry) {
  KINGCUPMILL_VERIFY(entry->term >= this->last().term);
  this->entries.push_back(std::move(entry));
}

void ReplicationLog::TruncateAfter(Position position) {
  KINGCUPMILL_VERIFY(position.value <= this->entries.size());
  this->entries.resize(position.value);
}

}  // namespace kingcupmill
