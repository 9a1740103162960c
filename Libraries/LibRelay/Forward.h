#ifndef LIBRELAY_FORWARD_H_
#define LIBRELAY_FORWARD_H_

namespace kingcupmill {

class LoanDesk;
class RelayDialer;
class RelayingStore;

}  // namespace kingcupmill

#endif  // LIBRELAY_FORWARD_H_
