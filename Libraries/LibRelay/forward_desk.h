#ifndef LIBRELAY_FORWARD_DESK_H_
#define LIBRELAY_FORWARD_DESK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "LibCore/life_guard.h"
#include "LibCore/scheduler.h"
#include "LibDispatch/group_access.h"
#include "LibPeer/peer_links.h"

namespace kingcupmill {

// Runs the statements that other proxies forward to this home, and holds their
// transactions. One that is not continued for too long is rolled back.
class ForwardDesk {
 public:
  // Returns the way to a group of which this proxy is a home, or null.
  using FindHome = std::function<GroupAccess*(const GroupName&)>;
  // Returns how long the primary of a group has been silent.
  using PrimarySilence = std::function<Duration(const GroupName&)>;
  // How long a transaction may be idle.
  using IdleLimit = std::function<Duration()>;

  ForwardDesk(Scheduler& scheduler,
              FindHome find_home,
              PrimarySilence primary_silence,
              IdleLimit idle_limit);
  ~ForwardDesk();

  void Handle(const ForwardQuery& query, const PeerLinks::Answer& answer);
  void Handle(const ContinueQuery& query, const PeerLinks::Answer& answer);
  void Handle(const EndQuery& query, const PeerLinks::Answer& answer);

  // Rolls back every transaction that runs no statement.
  void EndIdle();

  size_t transaction_count() const { return this->held_by_name.size(); }

  // Answers everything that still runs, since the process ends: as in doubt
  // what may have changed data, as not taken what may run elsewhere.
  void GiveUp();

  // Forwarded statements without an answer and transactions that are held.
  size_t open_count() const {
    return this->running.size() + this->held_by_name.size();
  }
  bool is_idle() const { return this->open_count() == 0; }

 private:
  struct Held;
  struct Running {
    bool is_write = false;
    PeerLinks::Answer answer;
  };
  using HeldPointer = std::shared_ptr<Held>;

  void DidFinish(uint64_t number,
                 const std::string& name,
                 const GroupName& group,
                 WorkOutcome outcome);
  void DidContinue(const std::string& name,
                   const HeldPointer& held,
                   StatementAnswer answered);
  void RestartTimer(const std::string& name, const HeldPointer& held);
  void End(const std::string& name);

  Scheduler& scheduler;
  FindHome find_home;
  PrimarySilence primary_silence;
  IdleLimit idle_limit;
  std::map<std::string, HeldPointer> held_by_name;
  // Statements outside of transactions that have no answer yet, by a number.
  std::map<uint64_t, Running> running;
  uint64_t next_number = 1;
  LifeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBRELAY_FORWARD_DESK_H_
