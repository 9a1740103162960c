#ifndef LIBEMULATOR_RANDOM_FAULTS_H_
#define LIBEMULATOR_RANDOM_FAULTS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace kingcupmill {

// The result of a run with random faults.
struct RandomFaultReport {
  std::vector<std::string> violations;
  uint64_t statements = 0;
  uint64_t promotions = 0;
  // Writes that succeeded in the last 3 s, after all faults were healed and
  // the cluster had time to recover.
  uint64_t writes_after_healing = 0;
  // Proxies that use an older configuration than the one published at the end,
  // after a last silence.
  uint64_t outdated_nodes = 0;
};

struct RandomFaultOptions {
  uint64_t seed = 1;
  // The number of random faults, injected 1.5 s apart.
  int rounds = 14;
  // The number of proxies. If it exceeds the connection limit of a target, some
  // proxies forward their statements to others.
  size_t nodes = 5;
  // How often the store is restored from a backup, beside the random faults.
  int restores = 0;
  // How often connections of some or all proxies fall silent, beside the random
  // faults. Afterwards, a configuration is published.
  int silences = 0;
  // How many replicas must have a commit before it is acknowledged. If there is
  // one, random faults of replicas are injected beside the others.
  size_t synchronous_replicas = 0;
};

// Injects the faults, heals them all and measures whether writes succeed.
RandomFaultReport RunRandomFaults(const RandomFaultOptions& options);

}  // namespace kingcupmill

#endif  // LIBEMULATOR_RANDOM_FAULTS_H_
