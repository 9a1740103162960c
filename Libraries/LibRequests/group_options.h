#ifndef LIBREQUESTS_GROUP_OPTIONS_H_
#define LIBREQUESTS_GROUP_OPTIONS_H_

#include <set>
#include <vector>

#include "LibCore/names.h"
#include "LibFailover/promoter.h"
#include "LibFailover/staleness_tracker.h"
#include "LibRequests/retry_budget.h"
#include "LibRequests/target_pool.h"
#include "LibRouting/read_router.h"
#include "LibRouting/write_admission.h"
#include "LibTarget/target_request.h"

namespace kingcupmill {

// Safety mechanisms that tests can disable to show that they are needed.
enum class Safeguard {
  kMajorityAcknowledgement,
  kSeal,
  kLedger,
  kTombstone,
  kTokenWait,
  kStalenessCheck,
  kConnectionCheck,
  kRevisionCheck,
};

// The settings for all that a proxy does for a group.
struct GroupOptions {
  GroupName group;
  std::vector<TargetName> members;
  VmName vm;
  TargetPool::Options pool;
  PromoterOptions promoter;
  ReadRouter::Options router;
  WriteAdmission::Options admission;
  StalenessTracker::Options staleness_tracker;
  RetryBudget::Options retry_budget;
  Acknowledge acknowledge = Acknowledge::kMajority;
  // The interval between two status requests to each target.
  Duration probe_interval = std::chrono::milliseconds(100);
  // The same while a promotion is in progress or no primary is known.
  Duration fast_probe_interval = std::chrono::milliseconds(10);
  // An interactive transaction that runs no statement for this long is rolled
  // back, because it holds the database's write lock.
  Duration transaction_idle_limit = std::chrono::seconds(2);
  std::set<Safeguard> disabled_safeguards;

  // Disables a safety mechanism, here or in the options of the class that
  // implements it.
  void Disable(Safeguard safeguard) {
    this->disabled_safeguards.insert(safeguard);
    if (safeguard == Safeguard::kSeal)
      this->promoter.seal_quorum = SealQuorum::kSingle;
    if (safeguard == Safeguard::kStalenessCheck)
      this->router.age_check = ReadRouter::AgeCheck::kUnchecked;
    if (safeguard == Safeguard::kConnectionCheck)
      this->pool.answer_matching = AnswerMatching::kAny;
  }

  bool is_enabled(Safeguard safeguard) const {
    return !this->disabled_safeguards.contains(safeguard);
  }
};

}  // namespace kingcupmill

#endif  // LIBREQUESTS_GROUP_OPTIONS_H_
