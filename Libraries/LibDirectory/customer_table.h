#ifndef LIBDIRECTORY_CUSTOMER_TABLE_H_
#define LIBDIRECTORY_CUSTOMER_TABLE_H_

#include <map>
#include <span>
#include <string>
#include <string_view>

#include "LibCore/error.h"
#include "LibCore/names.h"
#include "LibDirectory/customer_declaration.h"

namespace kingcupmill {

// The declared customers and the keys that identify their callers. On the
// platform these are digests of the keys that the callers send, so that the
// keys themselves are not kept. They are never logged and never sent to
// targets.
class CustomerTable {
 public:
  // Adds a customer. Fails with kInvalidInput, and changes nothing, if the name
  // is empty or declared already, or if a key is empty, repeated or held by
  // another customer. The message names the customers, never the key.
  Result<void> Add(const CustomerName& name,
                   CustomerDeclaration declaration,
                   std::span<const std::string> keys);

  // Returns the customer that holds `key`, or null.
  const CustomerName* FindByKey(std::string_view key) const;

  // Returns the declaration of a customer, or null.
  const CustomerDeclaration* Find(const CustomerName& name) const;

  const std::map<CustomerName, CustomerDeclaration>& declarations() const {
    return this->declaration_by_name;
  }

  // Whether no customer is declared, so that callers need no key.
  bool empty() const { return this->declaration_by_name.empty(); }

 private:
  std::map<CustomerName, CustomerDeclaration> declaration_by_name;
  std::map<std::string, CustomerName, std::less<>> customer_by_key;
};

}  // namespace kingcupmill

#endif  // LIBDIRECTORY_CUSTOMER_TABLE_H_
