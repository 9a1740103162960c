#include "LibStandins/sqlite_database.h"

#include <sqlite3.h>

#include <algorithm>
#include <array>
#include <string_view>

#include "LibCore/verify.h"

namespace kingcupmill {

namespace {

constexpr size_t kMaximumResultBytes = 16U << 20U;
constexpr size_t kMaximumCachedStatements = 256;

// Functions whose value depends on more than the database and the arguments.
constexpr std::array<std::string_view, 13> kNonDeterministicFunctions = {
    "random",       "randomblob",        "date",
    "time",         "datetime",          "julianday",
    "strftime",     "unixepoch",         "current_date",
    "current_time", "current_timestamp", "last_insert_rowid",
    "total_changes"};

// Denies what clients must not do: transaction control, pragmas and attaching
// databases are reserved to the server, and non-deterministic functions would
// make the replicas differ.
int Authorize(void* is_control_allowed,
              int action,
              const char* /*first*/,
              const char* second,
              const char* /*database*/,
              const char* /*trigger*/) {
  switch (action) {
    case SQLITE_TRANSACTION:
      return *static_cast<bool*>(is_control_allowed) ? SQLITE_OK : SQLITE_DENY;
    case SQLITE_SAVEPOINT:
    case SQLITE_ATTACH:
    case SQLITE_DETACH:
    case SQLITE_PRAGMA:
      return SQLITE_DENY;
    case SQLITE_FUNCTION: {
      const auto match = std::find(kNonDeterministicFunctions.begin(),
                                   kNonDeterministicFunctions.end(), second);
      return match == kNonDeterministicFunctions.end() ? SQLITE_OK
                                                       : SQLITE_DENY;
    }
    default:
      return SQLITE_OK;
  }
}

void Bind(sqlite3_stmt* prepared, int index, const SqlValue& value) {
  if (const auto* integer = std::get_if<int64_t>(&value)) {
    sqlite3_bind_int64(prepared, index, *integer);
  } else if (const auto* real = std::get_if<double>(&value)) {
    sqlite3_bind_double(prepared, index, *real);
  } else if (const auto* text = std::get_if<std::string>(&value)) {
    sqlite3_bind_text64(prepared, index, text->data(), text->size(),
                        SQLITE_TRANSIENT, SQLITE_UTF8);
  } else {
    sqlite3_bind_null(prepared, index);
  }
}

SqlValue ReadColumn(sqlite3_stmt* prepared, int column) {
  switch (sqlite3_column_type(prepared, column)) {
    case SQLITE_INTEGER:
      return static_cast<int64_t>(sqlite3_column_int64(prepared, column));
    case SQLITE_FLOAT:
      return sqlite3_column_double(prepared, column);
    case SQLITE_NULL:
      return std::monostate();
    default: {
      const auto* text = sqlite3_column_text(prepared, column);
      const auto size =
          static_cast<size_t>(sqlite3_column_bytes(prepared, column));
      return std::string(reinterpret_cast<const char*>(text), size);
    }
  }
}

size_t SizeOf(const SqlValue& value) {
  const auto* text = std::get_if<std::string>(&value);
  return text ? text->size() : sizeof(int64_t);
}

// Resets the prepared statement at the end of the scope, so that it can be
// reused from the cache.
class Resetter {
 public:
  explicit Resetter(sqlite3_stmt* prepared) : prepared(prepared) {}
  ~Resetter() {
    sqlite3_reset(this->prepared);
    sqlite3_clear_bindings(this->prepared);
  }
  Resetter(const Resetter&) = delete;
  Resetter& operator=(const Resetter&) = delete;

 private:
  sqlite3_stmt* prepared;
};

}  // namespace

void SqliteDatabase::Finalizer::operator()(sqlite3_stmt* prepared) const {
  sqlite3_finalize(prepared);
}

SqliteDatabase::SqliteDatabase() {
  const int opened = sqlite3_open_v2(
      ":memory:", &this->handle,
      SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX,
      nullptr);
  KINGCUPMILL_VERIFY(opened == SQLITE_OK);
  sqlite3_set_authorizer(this->handle, Authorize, &this->is_control_allowed);
}

SqliteDatabase::~SqliteDatabase() {
  this->cache.clear();
  sqlite3_close_v2(this->handle);
}

std::variant<sqlite3_stmt*, SqlFailure> SqliteDatabase::Prepare(
    const std::string& text) {
  const auto cached = this->cache.find(text);
  if (cached != this->cache.end())
    return cached->second.get();
  sqlite3_stmt* prepared = nullptr;
  const char* tail = nullptr;
  const int code =
      sqlite3_prepare_v2(this->handle, text.data(),
                         static_cast<int>(text.size()), &prepared, &tail);
  Prepared owned(prepared);
  if (code != SQLITE_OK)
    return this->LastFailure();
  if (!owned)
    return SqlFailure{SqlFailure::Kind::kError, "empty statement"};
  const std::string_view rest(tail, text.data() + text.size() - tail);
  if (rest.find_first_not_of(" \t\r\n;") != std::string_view::npos) {
    return SqlFailure{SqlFailure::Kind::kError,
                      "several statements in one request"};
  }
  if (this->cache.size() >= kMaximumCachedStatements)
    this->cache.clear();
  this->cache.emplace(text, std::move(owned));
  return prepared;
}

std::variant<ResultSet, SqlFailure> SqliteDatabase::Execute(
    const Statement& statement,
    Access access) {
  auto preparation = this->Prepare(statement.text);
  if (auto* failure = std::get_if<SqlFailure>(&preparation))
    return std::move(*failure);
  sqlite3_stmt* prepared = std::get<sqlite3_stmt*>(preparation);
  const bool is_read_only = sqlite3_stmt_readonly(prepared) != 0;
  if (!is_read_only && access == Access::kRead) {
    return SqlFailure{SqlFailure::Kind::kNotReadOnly,
                      "statement is not read-only"};
  }
  const int expected = sqlite3_bind_parameter_count(prepared);
  if (static_cast<size_t>(expected) != statement.parameters.size()) {
    return SqlFailure{SqlFailure::Kind::kError,
                      "statement takes " + std::to_string(expected) +
                          " parameters, got " +
                          std::to_string(statement.parameters.size())};
  }
  const Resetter resetter(prepared);
  for (int index = 0; index < expected; ++index)
    Bind(prepared, index + 1, statement.parameters[index]);

  ResultSet result;
  const int columns = sqlite3_column_count(prepared);
  for (int column = 0; column < columns; ++column)
    result.columns.emplace_back(sqlite3_column_name(prepared, column));
  size_t bytes = 0;
  int code = sqlite3_step(prepared);
  for (; code == SQLITE_ROW; code = sqlite3_step(prepared)) {
    auto& row = result.rows.emplace_back();
    for (int column = 0; column < columns; ++column) {
      row.push_back(ReadColumn(prepared, column));
      bytes += SizeOf(row.back());
    }
    if (bytes > kMaximumResultBytes)
      return SqlFailure{SqlFailure::Kind::kError, "result is too large"};
  }
  if (code != SQLITE_DONE)
    return this->LastFailure();
  if (!is_read_only)
    result.rows_affected = sqlite3_changes64(this->handle);
  return result;
}

void SqliteDatabase::Begin() {
  this->RunControl("BEGIN IMMEDIATE");
}

void SqliteDatabase::Commit() {
  this->RunControl("COMMIT");
}

void SqliteDatabase::Rollback() {
  // On some errors SQLite rolls back the transaction by itself.
  if (sqlite3_get_autocommit(this->handle) == 0)
    this->RunControl("ROLLBACK");
}

void SqliteDatabase::RunControl(const char* text) {
  this->is_control_allowed = true;
  const int code = sqlite3_exec(this->handle, text, nullptr, nullptr, nullptr);
  this->is_control_allowed = false;
  KINGCUPMILL_VERIFY(code == SQLITE_OK);
}

SqlFailure SqliteDatabase::LastFailure() const {
  SqlFailure failure;
  if (sqlite3_errcode(this->handle) == SQLITE_CONSTRAINT)
    failure.kind = SqlFailure::Kind::kConstraint;
  failure.message = sqlite3_errmsg(this->handle);
  return failure;
}

void SqliteDatabase::CopyFrom(const SqliteDatabase& source) {
  this->cache.clear();
  sqlite3_backup* backup =
      sqlite3_backup_init(this->handle, "main", source.handle, "main");
  KINGCUPMILL_VERIFY(backup != nullptr);
  const int stepped = sqlite3_backup_step(backup, -1);
  KINGCUPMILL_VERIFY(stepped == SQLITE_DONE);
  sqlite3_backup_finish(backup);
}

}  // namespace kingcupmill
