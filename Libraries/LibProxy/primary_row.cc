#include "LibProxy/primary_row.h"

#include <nlohmann/json.hpp>

namespace kingcupmill {

using nlohmann::json;

std::string EncodePrimaryRow(const TargetName& primary, Term term) {
  return json{{"target", primary.value}, {"term", term.value}}.dump();
}

Term DecodePrimaryRowTerm(std::string_view value) {
  const json row = json::parse(value, nullptr, false);
  const auto term = row.is_object() ? row.find("term") : row.end();
  const bool is_valid = term != row.end() && term->is_number_unsigned();
  return Term{is_valid ? term->get<uint64_t>() : 0};
}

}  // namespace kingcupmill
