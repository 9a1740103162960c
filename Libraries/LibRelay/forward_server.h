#ifndef LIBRELAY_FORWARD_SERVER_H_
#define LIBRELAY_FORWARD_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "LibCore/lifetime_guard.h"
#include "LibCore/scheduler.h"
#include "LibDispatch/request_dispatcher.h"
#include "LibPeer/peer_links.h"

namespace kingcupmill {

// Runs the statements that other proxies forward to this home and holds their
// transactions. A transaction that gets no statement within the idle limit is
// rolled back.
class ForwardServer {
 public:
  // Returns the dispatcher of a group of which this proxy is a home, or null
  // when it accepts no statements of the group.
  using FindHome = std::function<RequestDispatcher*(const GroupName&)>;
  // Returns how long the primary of a group has left queries unanswered.
  using PrimarySilence = std::function<Duration(const GroupName&)>;
  // Returns how long a transaction may be idle.
  using IdleLimit = std::function<Duration()>;

  ForwardServer(Scheduler& scheduler,
                FindHome find_home,
                PrimarySilence primary_silence,
                IdleLimit idle_limit);
  ~ForwardServer();

  // Each calls `send_answer` at most once, perhaps before it returns. A
  // statement whose transaction ends while it is running gets no answer.
  void Handle(const ForwardQuery& query,
              const PeerLinks::SendAnswer& send_answer);
  void Handle(const ContinueQuery& query,
              const PeerLinks::SendAnswer& send_answer);
  void Handle(const RollbackQuery& query,
              const PeerLinks::SendAnswer& send_answer);

  // Rolls back every transaction in which no statement is running. Called in a
  // graceful shutdown.
  void RollBackIdle();

  size_t transaction_count() const { return this->transaction_by_name.size(); }

  // Answers all outstanding queries because the process is about to exit.
  // Writes and commits are reported as in doubt, other statements of
  // transactions as aborted, and reads and starts of transactions as not
  // accepted, so that they run on another home. Ends all transactions.
  void FailOutstanding();

  // Returns the number of forwarded statements without an answer plus the
  // number of held transactions.
  size_t open_count() const {
    return this->running_by_number.size() + this->transaction_by_name.size();
  }
  bool is_idle() const { return this->open_count() == 0; }

 private:
  struct HeldTransaction;
  struct RunningStatement {
    bool is_write = false;
    PeerLinks::SendAnswer send_answer;
    // The size of its query.
    size_t bytes = 0;
  };
  using HeldTransactionPointer = std::shared_ptr<HeldTransaction>;

  void DidFinish(uint64_t number,
                 const std::string& name,
                 const GroupName& group,
                 DispatchOutcome outcome);
  void DidContinue(const std::string& name,
                   const HeldTransactionPointer& held,
                   StatementAnswer answered);
  void RestartTimer(const std::string& name,
                    const HeldTransactionPointer& held);
  void EndTransaction(const std::string& name);

  Scheduler& scheduler;
  FindHome find_home;
  PrimarySilence primary_silence;
  IdleLimit idle_limit;
  std::map<std::string, HeldTransactionPointer> transaction_by_name;
  // Unanswered statements outside transactions and starts of transactions.
  std::map<uint64_t, RunningStatement> running_by_number;
  size_t running_bytes = 0;
  uint64_t next_number = 1;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBRELAY_FORWARD_SERVER_H_
