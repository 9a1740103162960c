#ifndef LIBREQUESTS_GROUP_OPTIONS_H_
#define LIBREQUESTS_GROUP_OPTIONS_H_

#include <set>
#include <vector>

#include "LibCore/names.h"
#include "LibFailover/age_proofs.h"
#include "LibFailover/promoter.h"
#include "LibRequests/retry_budget.h"
#include "LibRequests/target_pool.h"
#include "LibRouting/read_router.h"
#include "LibRouting/write_admission.h"
#include "LibTarget/target_request.h"

namespace kingcupmill {

// Safety mechanisms that tests can disable to show that they are needed.
enum class Guard {
  kMajorityAcknowledgement,
  kSeal,
  kLedger,
  kTombstone,
  kTokenWait,
  kAgeProof,
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
  AgeProofs::Options age_proofs;
  RetryBudget::Options retry_budget;
  Acknowledge acknowledge = Acknowledge::kMajority;
  // The interval between two status requests to each target.
  Duration probe_interval = std::chrono::milliseconds(100);
  // The same while a promotion is in progress or no primary is known.
  Duration fast_probe_interval = std::chrono::milliseconds(10);
  // An interactive transaction that runs no statement for this long is rolled
  // back, because it holds the database's write lock.
  Duration transaction_idle_limit = std::chrono::seconds(2);
  std::set<Guard> disabled_guards;

  // Disables a safety mechanism, here or in the options of the class that
  // implements it.
  void Disable(Guard guard) {
    this->disabled_guards.insert(guard);
    if (guard == Guard::kSeal)
      this->promoter.seal_quorum = SealQuorum::kSingle;
    if (guard == Guard::kAgeProof)
      this->router.age_check = ReadRouter::AgeCheck::kUnchecked;
    if (guard == Guard::kConnectionCheck)
      this->pool.answer_matching = AnswerMatching::kAny;
  }

  bool is_enabled(Guard guard) const {
    return !this->disabled_guards.contains(guard);
  }
};

}  // namespace kingcupmill

#endif  // LIBREQUESTS_GROUP_OPTIONS_H_
