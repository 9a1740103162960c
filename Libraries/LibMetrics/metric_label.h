#ifndef LIBMETRICS_METRIC_LABEL_H_
#define LIBMETRICS_METRIC_LABEL_H_

#include <string>
#include <string_view>

namespace kingcupmill {

// Returns `value` as it stands between the quotes of a label in the text format
// of Prometheus: backslashes, quotes and line feeds are escaped.
std::string EscapeMetricLabel(std::string_view value);

}  // namespace kingcupmill

#endif  // LIBMETRICS_METRIC_LABEL_H_
