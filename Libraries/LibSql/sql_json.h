#ifndef LIBSQL_SQL_JSON_H_
#define LIBSQL_SQL_JSON_H_

#include <nlohmann/json.hpp>

#include "LibSql/result_set.h"
#include "LibSql/statement.h"

// Conversions between SQL types and JSON; also used for CBOR. The `from_json`
// functions throw nlohmann::json::exception if a field is missing or has the
// wrong type; the decoders of whole messages convert it to an Error.

namespace kingcupmill {

// Returns the JSON representation of one SQL value.
nlohmann::json SqlValueToJson(const SqlValue& value);
// Returns the SQL value of a JSON scalar; other JSON types throw.
SqlValue SqlValueFromJson(const nlohmann::json& json);

void to_json(nlohmann::json& json, const Statement& statement);
void from_json(const nlohmann::json& json, Statement& statement);
void to_json(nlohmann::json& json, const ResultSet& result);
void from_json(const nlohmann::json& json, ResultSet& result);

}  // namespace kingcupmill

#endif  // LIBSQL_SQL_JSON_H_
