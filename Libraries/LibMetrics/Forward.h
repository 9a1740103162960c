#ifndef LIBMETRICS_FORWARD_H_
#define LIBMETRICS_FORWARD_H_

namespace kingcupmill {

class LatencySummary;
class MetricsText;

}  // namespace kingcupmill

#endif  // LIBMETRICS_FORWARD_H_
