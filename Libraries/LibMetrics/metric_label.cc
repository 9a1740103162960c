#include "LibMetrics/metric_label.h"

namespace kingcupmill {

std::string EscapeMetricLabel(std::string_view value) {
  std::string escaped;
  for (const char character : value) {
    if (character == '\n') {
      escaped += "\\n";
      continue;
    }
    if (character == '\\' || character == '"')
      escaped.push_back('\\');
    escaped.push_back(character);
  }
  return escaped;
}

}  // namespace kingcupmill
