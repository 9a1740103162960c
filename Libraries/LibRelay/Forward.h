#ifndef LIBRELAY_FORWARD_H_
#define LIBRELAY_FORWARD_H_

namespace kingcupmill {

struct Home;
class ForwardServer;
class ForwardingDispatcher;
class HomeChooser;
class LoanServer;
class RelayDialer;
class RelayingStore;

}  // namespace kingcupmill

#endif  // LIBRELAY_FORWARD_H_
