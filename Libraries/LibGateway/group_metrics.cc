#include "LibGateway/group_metrics.h"

#include <fmt/format.h>

#include <chrono>

#include "LibDispatch/group_dispatcher.h"
#include "LibMetrics/metric_label.h"

namespace kingcupmill {

std::string FormatGroupMetrics(const GroupName& group,
                               const GroupDispatcher& dispatcher,
                               bool is_lease_held) {
  const RequestQueue& queue = dispatcher.request_queue();
  return fmt::format(
      "kingcupmill_lease_held{{group=\"{0}\"}} {1}\n"
      "kingcupmill_queue{{group=\"{0}\"}} {2}\n"
      "kingcupmill_queue_refused_total{{group=\"{0}\",reason=\"forecast\"}} "
      "{3}\n"
      "kingcupmill_queue_refused_total{{group=\"{0}\",reason=\"expired\"}} "
      "{4}\n"
      "kingcupmill_remote_share{{group=\"{0}\"}} {5:.3f}\n"
      "kingcupmill_remote_reads_total{{group=\"{0}\"}} {6}\n"
      "kingcupmill_connection_limit_refusals_total{{group=\"{0}\"}} {7}\n"
      "kingcupmill_connections_opened_total{{group=\"{0}\"}} {8}\n"
      "kingcupmill_connections_reassigned_total{{group=\"{0}\"}} {9}\n"
      "kingcupmill_primary_silence_seconds{{group=\"{0}\"}} {10:.3f}\n",
      EscapeMetricLabel(group.value), is_lease_held ? 1 : 0, queue.size(),
      queue.hopeless_count(), queue.expired_count(),
      dispatcher.zone_balancer().actual_share(),
      dispatcher.zone_balancer().departures(),
      dispatcher.connection_limit_refusals(), dispatcher.connections_opened(),
      dispatcher.connections_reassigned(),
      std::chrono::duration<double>(dispatcher.PrimarySilence()).count());
}

}  // namespace kingcupmill
