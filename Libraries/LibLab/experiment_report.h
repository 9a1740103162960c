#ifndef LIBLAB_EXPERIMENT_REPORT_H_
#define LIBLAB_EXPERIMENT_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "LibCore/time.h"

namespace kingcupmill {

// The result of one run of the lab.
struct ExperimentReport {
  std::string workload;

  struct Requests {
    uint64_t sent = 0;
    uint64_t ran = 0;
    uint64_t not_run = 0;
    uint64_t unknown = 0;
  };
  Requests requests;

  // Violated guarantees, found by comparing the answers to callers with the
  // final databases.
  struct Violations {
    // Writes that were acknowledged but are absent.
    uint64_t lost = 0;
    // Writes that are present more than once.
    uint64_t duplicated = 0;
    // Transactions of which only a part is present, and reads whose answer
    // belongs to another request.
    uint64_t mixed = 0;
    // Lost writes that were acknowledged by a target other than the final
    // primary.
    uint64_t superseded_ack = 0;
    // Reads that miss an earlier write of their own session.
    uint64_t read_your_writes = 0;
    // Writes that were reported as not run but are present.
    uint64_t false_not_run = 0;
    // Reads that are staler than their staleness bound.
    uint64_t stale_beyond_age = 0;

    uint64_t total() const {
      return this->lost + this->duplicated + this->mixed +
             this->superseded_ack + this->read_your_writes +
             this->false_not_run + this->stale_beyond_age;
    }
  };
  Violations violations;

  // How often each error message was returned to callers.
  std::map<std::string, uint64_t> reasons;

  uint64_t reads = 0;
  uint64_t replica_reads = 0;
  std::vector<Duration> failover_gaps;
  Duration read_p50{0};
  Duration read_p99{0};
  Duration write_p50{0};
  Duration write_p99{0};

  double replica_read_share() const {
    return this->reads == 0 ? 0
                            : static_cast<double>(this->replica_reads) /
                                  static_cast<double>(this->reads);
  }
};

// Returns the report as JSON.
std::string FormatReportAsJson(const ExperimentReport& report);
// Returns the report as a human-readable table.
std::string FormatReportAsTable(const ExperimentReport& report);

}  // namespace kingcupmill

#endif  // LIBLAB_EXPERIMENT_REPORT_H_
