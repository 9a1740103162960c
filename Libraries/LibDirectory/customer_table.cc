#include "LibDirectory/customer_table.h"

#include <set>

namespace kingcupmill {

Result<void> CustomerTable::Add(const CustomerName& name,
                                CustomerDeclaration declaration,
                                std::span<const std::string> keys) {
  if (name.value.empty())
    return Fail(ErrorCode::kInvalidInput, "a customer has no name");
  if (this->declaration_by_name.contains(name))
    return Fail(ErrorCode::kInvalidInput,
                "customer " + name.value + " is declared twice");
  std::set<std::string_view> own_keys;
  for (const std::string& key : keys) {
    if (key.empty() || !own_keys.insert(key).second)
      return Fail(ErrorCode::kInvalidInput,
                  "customer " + name.value + " has an empty or repeated key");
    const CustomerName* holder = this->FindByKey(key);
    if (holder)
      return Fail(ErrorCode::kInvalidInput, "customers " + holder->value +
                                                " and " + name.value +
                                                " have the same key");
  }
  for (const std::string& key : keys)
    this->customer_by_key.emplace(key, name);
  this->declaration_by_name.emplace(name, declaration);
  return {};
}

const CustomerName* CustomerTable::FindByKey(std::string_view key) const {
  const auto found = this->customer_by_key.find(key);
  return found == this->customer_by_key.end() ? nullptr : &found->second;
}

const CustomerDeclaration* CustomerTable::Find(const CustomerName& name) const {
  const auto found = this->declaration_by_name.find(name);
  return found == this->declaration_by_name.end() ? nullptr : &found->second;
}

}  // namespace kingcupmill
