#ifndef LIBSTANDINS_REPLICATION_LOG_H_
#define LIBSTANDINS_REPLICATION_LOG_H_

#include <memory>
#include <vector>

#include "LibCore/names.h"
#include "LibSql/statement.h"

namespace kingcupmill {

// One committed transaction in the replication log.
struct LogEntry {
  Term term;
  std::vector<Statement> statements;
};

// The replication log of one target; positions start at 1.
class ReplicationLog {
 public:
  using EntryPointer = std::shared_ptr<const LogEntry>;

  // Returns the point of the last entry; the zero point when it is empty.
  LogPoint last() const;

  // Returns the term of the entry at `position`; 0 at position 0.
  Term TermAt(Position position) const;

  // Returns whether there is an entry at `position`, or it is 0.
  bool has(Position position) const;

  const EntryPointer& At(Position position) const;
  void Append(EntryPointer entry);

  // Removes every entry after `position`.
  void TruncateAfter(Position position);

 private:
  std::vector<EntryPointer> entries;
};

}  // namespace kingcupmill

#endif  // LIBSTANDINS_REPLICATION_LOG_H_
