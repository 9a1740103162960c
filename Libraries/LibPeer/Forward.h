#ifndef LIBPEER_FORWARD_H_
#define LIBPEER_FORWARD_H_

namespace kingcupmill {

struct ClosePrimaryAnswer;
struct ClosePrimaryQuery;
struct ForwardAnswer;
struct ForwardQuery;
struct HealthAnswer;
struct HealthQuery;
class PeerLinks;
class SocketPeerLinks;
struct StoreCopyAnswer;
struct StoreCopyQuery;

}  // namespace kingcupmill

#endif  // LIBPEER_FORWARD_H_
