#ifndef LIBRELAY_FORWARD_H_
#define LIBRELAY_FORWARD_H_

namespace kingcupmill {

struct Home;
class ForwardDesk;
class ForwardingGroup;
class HomeChooser;
class LoanDesk;
class RelayDialer;
class RelayingStore;

}  // namespace kingcupmill

#endif  // LIBRELAY_FORWARD_H_
