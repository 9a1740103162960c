#ifndef LIBSTATEMENT_SESSION_RECORD_H_
#define LIBSTATEMENT_SESSION_RECORD_H_

#include <map>
#include <string>
#include <string_view>

#include "LibStatement/prepared_shape.h"

namespace kingcupmill {

// What a session has set up: its values and prepared statements.
class SessionRecord {
 public:
  using Values = std::map<std::string, std::string, std::less<>>;
  using Prepared = std::map<std::string, PreparedShape, std::less<>>;

  void Set(std::string_view name, std::string_view value);
  void Prepare(std::string_view name, PreparedShape shape);
  // Forgets a prepared statement, if there is one of that name.
  void Close(std::string_view name);

  // Returns null when nothing is prepared under `name`.
  const PreparedShape* Find(std::string_view name) const;

  const Values& values() const { return this->value_by_name; }

  // Whether another name or value would exceed what one session may keep.
  bool is_full() const;

 private:
  Values value_by_name;
  Prepared shape_by_name;
};

}  // namespace kingcupmill

#endif  // LIBSTATEMENT_SESSION_RECORD_H_
