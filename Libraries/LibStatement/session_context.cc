#include "LibStatement/session_context.h"

#include <utility>

namespace kingcupmill {

namespace {

// The maximum number of values and prepared statements in a session. It is far
// above what applications use, and prevents one caller from exhausting the
// memory of a proxy.
constexpr size_t kMaximumEntries = 512;
// Of all names, values and statements of a session. A message may have 1 MiB,
// so the largest legal value fits; what many sessions keep together is limited
// by the owner of the callers.
constexpr size_t kMaximumBytes = (size_t{1} << 20U) + (size_t{64} << 10U);

}  // namespace

void SessionContext::Set(std::string_view name, std::string_view value) {
  this->value_by_name.insert_or_assign(std::string(name), std::string(value));
}

void SessionContext::Prepare(std::string_view name, PreparedShape shape) {
  this->shape_by_name.insert_or_assign(std::string(name), std::move(shape));
}

void SessionContext::Close(std::string_view name) {
  const auto found = this->shape_by_name.find(name);
  if (found != this->shape_by_name.end())
    this->shape_by_name.erase(found);
}

const PreparedShape* SessionContext::Find(std::string_view name) const {
  const auto found = this->shape_by_name.find(name);
  return found == this->shape_by_name.end() ? nullptr : &found->second;
}

bool SessionContext::is_full(size_t added_bytes) const {
  return this->value_by_name.size() + this->shape_by_name.size() >=
             kMaximumEntries ||
         this->size_bytes() + added_bytes > kMaximumBytes;
}

size_t SessionContext::size_bytes() const {
  size_t bytes = 0;
  for (const auto& [name, value] : this->value_by_name)
    bytes += name.size() + value.size();
  for (const auto& [name, shape] : this->shape_by_name)
    bytes += name.size() + shape.shape.size();
  return bytes;
}

}  // namespace kingcupmill
