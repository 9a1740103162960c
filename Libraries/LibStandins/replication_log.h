#ifndef LIBSTANDINS_REPLICATION_LOG_H_
#define LIBSTANDINS_REPLICATION_LOG_H_

#include <memory>
#include <vector>

#include "LibCore/names.h"
#include "LibSql/statement.h"

namespace kingcupmill {

// One transaction in the replication log.
struct LogEntry {
  Term term;
  std::vector<Statement> statements;
};

// The replication log of one target; positions start at 1.
class ReplicationLog {
 public:
  using EntryPointer = std::shared_ptr<const LogEntry>;

  // Returns the term and position of the last entry, both 0 when the log is
  // empty.
  LogPoint last() const;

  // Returns the term of the entry at `position`, or 0 for position 0.
  Term TermAt(Position position) const;

  // Returns whether there is an entry at `position`. True for position 0.
  bool has(Position position) const;

  // Returns the entry at `position`, which must exist.
  const EntryPointer& At(Position position) const;
  // Appends an entry; its term must not be below the last one's.
  void Append(EntryPointer entry);

  // Removes every entry after `position`.
  void TruncateAfter(Position position);

 private:
  std::vector<EntryPointer> entries;
};

}  // namespace kingcupmill

#endif  // LIBSTANDINS_REPLICATION_LOG_H_
