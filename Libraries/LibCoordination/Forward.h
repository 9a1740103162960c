#ifndef LIBCOORDINATION_FORWARD_H_
#define LIBCOORDINATION_FORWARD_H_

namespace kingcupmill {

struct DutyRecord;
struct MemberRecord;
class CoordinationView;
class DutyLease;
class FailoverAgent;
class Handover;
class MemberRegistration;
class PromotionAuthority;

}  // namespace kingcupmill

#endif  // LIBCOORDINATION_FORWARD_H_
