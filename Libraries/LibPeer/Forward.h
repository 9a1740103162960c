#ifndef LIBPEER_FORWARD_H_
#define LIBPEER_FORWARD_H_

namespace kingcupmill {

struct CloseAnswer;
struct CloseQuery;
struct ForwardAnswer;
struct ForwardQuery;
struct HealthAnswer;
struct HealthQuery;
class PeerLinks;
class SocketPeerLinks;
struct CopyAnswer;
struct CopyQuery;

}  // namespace kingcupmill

#endif  // LIBPEER_FORWARD_H_
