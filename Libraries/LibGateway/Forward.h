#ifndef LIBGATEWAY_FORWARD_H_
#define LIBGATEWAY_FORWARD_H_

namespace kingcupmill {

class CallerChannel;
class Gateway;
class GatewayMetrics;
class GatewaySession;
class SessionAuthorizer;
class SessionHost;
struct SessionCustomer;

}  // namespace kingcupmill

#endif  // LIBGATEWAY_FORWARD_H_
