#ifndef LIBRELAY_LOAN_DESK_H_
#define LIBRELAY_LOAN_DESK_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "LibCore/life_guard.h"
#include "LibCore/scheduler.h"
#include "LibDispatch/group_dispatcher.h"
#include "LibPeer/peer_links.h"

namespace kingcupmill {

// Lends this proxy's connections to other proxies. A loan that is neither used
// nor returned ends by itself.
class LoanDesk {
 public:
  using FindGroup = std::function<GroupDispatcher*(const GroupName&)>;

  LoanDesk(Scheduler& scheduler, FindGroup find_group);
  ~LoanDesk();

  void Handle(const BorrowQuery& query, const PeerLinks::Answer& answer);
  void Handle(const RelayQuery& query, const PeerLinks::Answer& answer);
  void Handle(const ReturnQuery& query, const PeerLinks::Answer& answer);

  size_t loan_count() const { return this->loans.size(); }

 private:
  struct Loan;
  using LoanPointer = std::shared_ptr<Loan>;

  void DidReset(const std::string& name,
                bool is_clean,
                const PeerLinks::Answer& answer);
  void RestartTimer(const std::string& name, const LoanPointer& loan);
  void End(const std::string& name);

  Scheduler& scheduler;
  FindGroup find_group;
  std::map<std::string, LoanPointer> loans;
  LifeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBRELAY_LOAN_DESK_H_
