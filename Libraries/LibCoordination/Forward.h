#ifndef LIBCOORDINATION_FORWARD_H_
#define LIBCOORDINATION_FORWARD_H_

namespace kingcupmill {

struct CoordinatorRecord;
struct MemberRecord;
class CoordinationView;
class CoordinatorLease;
class FailoverAgent;
class Handover;
class MemberRegistration;
class PromotionAuthority;
class RecordRecovery;
class RosterKeeper;
class StatusQueries;
struct ReplicaRoster;

}  // namespace kingcupmill

#endif  // LIBCOORDINATION_FORWARD_H_
