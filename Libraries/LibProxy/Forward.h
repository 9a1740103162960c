#ifndef LIBPROXY_FORWARD_H_
#define LIBPROXY_FORWARD_H_

namespace kingcupmill {

class CallerInterface;
class PeerNetwork;
class ProxyCore;
class SocketPeerNetwork;
class SocketTargetConnector;
struct ProxyOptions;

}  // namespace kingcupmill

#endif  // LIBPROXY_FORWARD_H_
