#include "LibSql/sql_json.h"

#include <string>

namespace kingcupmill {

using nlohmann::json;

json SqlValueToJson(const SqlValue& value) {
  if (const auto* integer = std::get_if<int64_t>(&value))
    return *integer;
  if (const auto* real = std::get_if<double>(&value))
    return *real;
  if (const auto* text = std::get_if<std::string>(&value))
    return *text;
  return nullptr;
}

SqlValue SqlValueFromJson(const json& json) {
  if (json.is_null())
    return std::monostate();
  if (json.is_boolean())
    return static_cast<int64_t>(json.get<bool>());
  if (json.is_number_integer())
    return json.get<int64_t>();
  if (json.is_number_float())
    return json.get<double>();
  return json.get<std::string>();
}

void to_json(json& json, const Statement& statement) {
  json = json::array({statement.text, json::array()});
  for (const SqlValue& value : statement.parameters)
    json[1].push_back(SqlValueToJson(value));
}

void from_json(const json& json, Statement& statement) {
  statement.text = json.at(0).get<std::string>();
  statement.parameters.clear();
  for (const auto& value : json.at(1))
    statement.parameters.push_back(SqlValueFromJson(value));
}

void to_json(json& json, const ResultSet& result) {
  json = {{"columns", result.columns},
          {"rows", json::array()},
          {"rows_affected", result.rows_affected}};
  for (const auto& row : result.rows) {
    auto encoded = json::array();
    for (const SqlValue& value : row)
      encoded.push_back(SqlValueToJson(value));
    json["rows"].push_back(std::move(encoded));
  }
}

void from_json(const json& json, ResultSet& result) {
  json.at("columns").get_to(result.columns);
  json.at("rows_affected").get_to(result.rows_affected);
  result.rows.clear();
  for (const auto& encoded : json.at("rows")) {
    std::vector<SqlValue> row;
    row.reserve(encoded.size());
    for (const auto& value : encoded)
      row.push_back(SqlValueFromJson(value));
    result.rows.push_back(std::move(row));
  }
}

}  // namespace kingcupmill
