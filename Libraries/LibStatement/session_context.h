#ifndef LIBSTATEMENT_SESSION_CONTEXT_H_
#define LIBSTATEMENT_SESSION_CONTEXT_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "LibStatement/prepared_shape.h"

namespace kingcupmill {

// The session values and prepared statements of a caller's session.
class SessionContext {
 public:
  using Values = std::map<std::string, std::string, std::less<>>;
  using Prepared = std::map<std::string, PreparedShape, std::less<>>;

  void Set(std::string_view name, std::string_view value);
  void Prepare(std::string_view name, PreparedShape shape);
  // Removes a prepared statement. Does nothing if there is none of that name.
  void Close(std::string_view name);

  // Returns the prepared statement of that name, or null.
  const PreparedShape* Find(std::string_view name) const;

  const Values& values() const { return this->value_by_name; }

  // Whether the session has reached the maximum number of values and prepared
  // statements, or their maximum size with `added_bytes` more.
  bool is_full(size_t added_bytes) const;

  // Returns the size of all names, values and statements.
  size_t size_bytes() const;

 private:
  Values value_by_name;
  Prepared shape_by_name;
};

}  // namespace kingcupmill

#endif  // LIBSTATEMENT_SESSION_CONTEXT_H_
