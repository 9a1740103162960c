#include "LibGateway/group_metrics.h"

#include <doctest/doctest.h>

#include <sstream>
#include <string>

#include "LibDispatch/test_home.h"

namespace kingcupmill {

// Guards against the name of a group that adds lines to the metrics or makes
// all of them unreadable.
TEST_CASE("the metrics of a group with an odd name") {
  const TestHome home(4, 2);
  const std::string metrics = FormatGroupMetrics(
      GroupName{"a\"} 1\nodd_metric{b=\"\\"}, home.dispatcher, true);
  std::istringstream lines(metrics);
  std::string line;
  size_t count = 0;
  while (std::getline(lines, line)) {
    CAPTURE(line);
    CHECK(line.starts_with("kingcupmill_"));
    CHECK(line.find("{group=\"a\\\"} 1\\nodd_metric{b=\\\"\\\\\"") !=
          std::string::npos);
    ++count;
  }
  CHECK(count == 10);
}

}  // namespace kingcupmill
