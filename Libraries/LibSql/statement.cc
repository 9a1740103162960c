#include "LibSql/statement.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <nlohmann/json.hpp>

#include "LibSql/sql_json.h"

namespace kingcupmill {

Access ClassifyStatement(std::string_view text) {
  constexpr std::array<std::string_view, 3> kQueryKeywords = {
      "SELECT", "VALUES", "EXPLAIN"};
  auto begin = std::find_if_not(text.begin(), text.end(), [](unsigned char c) {
    return std::isspace(c);
  });
  std::string keyword;
  for (auto it = begin; it != text.end(); ++it) {
    const auto character = static_cast<unsigned char>(*it);
    if (!std::isalpha(character))
      break;
    keyword.push_back(static_cast<char>(std::toupper(character)));
  }
  const bool is_query = std::find(kQueryKeywords.begin(), kQueryKeywords.end(),
                                  keyword) != kQueryKeywords.end();
  return is_query ? Access::kRead : Access::kWrite;
}

uint64_t DigestOf(const Statement& statement) {
  const nlohmann::json json = statement;
  const std::vector<uint8_t> bytes = nlohmann::json::to_cbor(json);
  return XXH64(bytes.data(), bytes.size(), 0);
}

}  // namespace kingcupmill
