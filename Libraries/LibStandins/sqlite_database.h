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

// An in-memory SQLite database.
class SqliteDatabase {
 public:
  SqliteDatabase();
  ~SqliteDatabase();
  SqliteDatabase(const SqliteDatabase&) = delete;
  SqliteDatabase& operator=(const SqliteDatabase&) = delete;

  // Runs one statement. Fails with kNotReadOnly when the statement writes and
  // `access` is kRead. Transaction control, pragmas, attaching databases and
  // functions whose results could differ between replicas are refused for both
  // kinds of access.
  std::variant<ResultSet, SqlFailure> Execute(const Statement& statement,
                                              Access access);

  void Begin();
  void Commit();
  // Does nothing when no transaction is open.
  void Rollback();

  // Replaces the contents of this database with those of `source`.
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
  // Set only while this class itself begins or ends a transaction.
  bool is_control_allowed = false;
  std::unordered_map<std::string, Prepared> cache;
};

}  // namespace kingcupmill

#endif  // LIBSTANDINS_SQLITE_DATABASE_H_
