#ifndef LIBRELAY_LOAN_SERVER_H_
#define LIBRELAY_LOAN_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "LibCore/lifetime_guard.h"
#include "LibCore/scheduler.h"
#include "LibDispatch/group_dispatcher.h"
#include "LibPeer/peer_links.h"

namespace kingcupmill {

// Lends this proxy's connections to targets to other proxies that cannot reach
// the targets or have no connections left. A loan without a message for too
// long is ended, since the borrower may be gone.
class LoanServer {
 public:
  // Returns the dispatcher of a group of which this proxy is a home, or null.
  using FindGroup = std::function<GroupDispatcher*(const GroupName&)>;

  LoanServer(Scheduler& scheduler, FindGroup find_group);
  ~LoanServer();

  // Each calls `send_answer` once, perhaps before it returns.
  void Handle(const BorrowQuery& query,
              const PeerLinks::SendAnswer& send_answer);
  void Handle(const RelayQuery& query,
              const PeerLinks::SendAnswer& send_answer);
  void Handle(const ReturnQuery& query,
              const PeerLinks::SendAnswer& send_answer);

  size_t loan_count() const { return this->loan_by_name.size(); }

 private:
  struct Loan;
  using LoanPointer = std::shared_ptr<Loan>;

  // Lends a connection, for which it waits while one is being opened for the
  // customer.
  void Lend(const BorrowQuery& query,
            const PeerLinks::SendAnswer& send_answer,
            int attempts_left);
  void DidReset(const std::string& name,
                bool is_clean,
                const PeerLinks::SendAnswer& send_answer);
  void RestartTimer(const std::string& name, const LoanPointer& loan);
  void EndLoan(const std::string& name);

  Scheduler& scheduler;
  FindGroup find_group;
  std::map<std::string, LoanPointer> loan_by_name;
  // Loans that wait for a connection to open.
  std::set<std::string> waiting_loans;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBRELAY_LOAN_SERVER_H_
