#ifndef LIBSTANDINS_SQLITE_DATABASE_H_
#define LIBSTANDINS_SQLITE_DATABASE_H_

#include <memory>
#include <string>
#include <unordered_map>
#include <variant>

#include "LibSql/result_set.h"
#include "LibSql/statement.h"

struct sqlite3;
struct sqlite3_stmt;

namespace kingcupmill {

// Why SQLite refused a statement.
struct SqlFailure {
  enum class Kind { kError, kConstraint, kNotReadOnly };
  Kind kind = Kind::kError;
  std::string message;
};

// One SQLite database in memory.
class SqliteDatabase {
 public:
  SqliteDatabase();
  ~SqliteDatabase();
  SqliteDatabase(const SqliteDatabase&) = delete;
  SqliteDatabase& operator=(const SqliteDatabase&) = delete;

  // Runs one statement. Statements that are not read-only are refused unless
  // `access` is kWrite; functions whose results differ between replicas are
  // refused in writes.
  std::variant<ResultSet, SqlFailure> Execute(const Statement& statement,
                                              Access access);

  void Begin();
  void Commit();
  void Rollback();

  // Replaces the content of this database by that of `source`.
  void CopyFrom(const SqliteDatabase& source);

 private:
  struct Finalizer {
    void operator()(sqlite3_stmt* prepared) const;
  };
  using Prepared = std::unique_ptr<sqlite3_stmt, Finalizer>;

  std::variant<sqlite3_stmt*, SqlFailure> Prepare(const std::string& text);
  void RunControl(const char* text);
  SqlFailure LastFailure() const;

  sqlite3* handle = nullptr;
  // Transaction control is allowed only to this class itself.
  bool is_control_allowed = false;
  std::unordered_map<std::string, Prepared> cache;
};

}  // namespace kingcupmill

#endif  // LIBSTANDINS_SQLITE_DATABASE_H_
