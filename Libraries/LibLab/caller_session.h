#ifndef LIBLAB_CALLER_SESSION_H_
#define LIBLAB_CALLER_SESSION_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "LibCore/random_source.h"
#include "LibLab/call_record.h"
#include "LibLab/experiment_options.h"
#include "LibWire/http_client.h"

namespace kingcupmill {

// One caller, which sends each call to a random proxy. It writes numbered rows,
// reads them back with its session token and reads a shared clock with a
// staleness bound.
class CallerSession {
 public:
  CallerSession(size_t number,
                GroupName group,
                ApplicationName application,
                std::vector<HttpClient*> proxies,
                const ExperimentOptions& options);

  // Makes one call and waits for its answer.
  CallRecord MakeCall();

  // Makes one write, regardless of the configured share of reads.
  CallRecord Write();

  // Returns a random pause before the next call, at most twice the think time.
  Duration NextPause();

 private:
  struct Answer {
    Outcome outcome = Outcome::kUnknown;
    bool is_from_primary = false;
    TargetName target;
    std::string transaction;
    std::string message;
    // The two columns of a read's row.
    std::string echo;
    int64_t number = 0;
  };

  CallRecord Transact();
  CallRecord ReadOwnWrites();
  CallRecord ReadClock();
  CallRecord StartRecord(CallKind kind);
  Answer Post(const std::string& path, const std::string& body);
  Answer PostRead(CallRecord& record, const std::string& body);

  size_t number;
  GroupName group;
  ApplicationName application;
  std::vector<HttpClient*> clients;
  const ExperimentOptions& options;
  SeededRandom random;
  std::string token;
  int64_t last_sequence = 0;
  int64_t last_acknowledged = 0;
  uint64_t next_echo = 1;
};

}  // namespace kingcupmill

#endif  // LIBLAB_CALLER_SESSION_H_
