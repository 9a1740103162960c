#ifndef LIBUSAGE_USAGE_SERVICE_H_
#define LIBUSAGE_USAGE_SERVICE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/lifetime_guard.h"
#include "LibCore/names.h"
#include "LibCore/random_source.h"
#include "LibCore/scheduler.h"
#include "LibDirectory/customer_table.h"
#include "LibDispatch/event_log.h"
#include "LibPeer/peer_links.h"
#include "LibUsage/usage_account.h"
#include "LibUsage/usage_budget.h"
#include "LibUsage/usage_token.h"

namespace kingcupmill {

// Keeps the usage limits of customers over all proxies: obtains tokens from the
// holders of their accounts, and keeps the accounts of which this proxy is the
// holder. The holder of an account is chosen by rendezvous hashing over the
// registered members.
class UsageService {
 public:
  struct Context {
    Scheduler& scheduler;
    PeerLinks& peers;
    EventLog& event_log;
    // The address of this proxy, and its place.
    std::string address;
    PlaceName place;
    // Returns when the copy of the membership was current.
    std::function<TimePoint()> members_read_at;
    uint64_t random_seed = 0;
  };

  // A registered member that is not gone.
  struct Member {
    std::string address;
    // Unique per start of its process.
    std::string incarnation;
    PlaceName place;
  };

  using DidDecide = std::function<void(UsageDecision)>;
  using WaitNumber = uint64_t;

  explicit UsageService(Context context);

  // Whether any customer has a limit. Without one, this does nothing.
  bool is_active() const { return !this->customers.empty(); }
  bool is_limited(const CustomerName& customer) const {
    return this->customers.contains(customer);
  }

  // Sets the customers of the configuration. Limits take effect at once.
  void SetCustomers(const CustomerTable& table);
  // Sets the members, ordered by address, whenever the membership has changed.
  void SetMembers(const std::vector<Member>& members);
  // Notices that the copy of the membership was too old. Called at short
  // intervals.
  void Tick();

  // Decides at once whether an operation of a customer with a limit may run.
  // Returns nothing if the operation has to wait, with Wait(), for at most
  // `limit`.
  std::optional<UsageDecision> Decide(const CustomerName& customer,
                                      Duration limit);
  // Calls `did_decide` once, later, unless the wait is cancelled.
  WaitNumber Wait(const CustomerName& customer,
                  Duration limit,
                  DidDecide did_decide);
  void CancelWait(WaitNumber number);
  // Returns the token of an operation that has not run.
  void Return(const CustomerName& customer, const UsageToken& token);

  void Handle(const UsageQuery& query,
              const PeerLinks::SendAnswer& send_answer);

  // Returns the address of the holder of the account of a customer with a
  // limit; empty without members.
  const std::string& HolderOf(const CustomerName& customer) const {
    return this->customers.at(customer).holder;
  }

  void Handle(const UsagePoolQuery& query,
              const PeerLinks::SendAnswer& send_answer);

  std::string FormatMetrics() const;

 private:
  struct Waiter {
    WaitNumber number = 0;
    TimePoint deadline{};
    DidDecide did_decide;
  };
  struct Customer {
    explicit Customer(const UsageLimit& limit) : limit(limit) {}
    UsageLimit limit;
    uint64_t hash = 0;
    // Empty without members.
    std::string holder;
    // Only at the holder.
    std::unique_ptr<UsageAccount> account;
    // Only while the customer is active here.
    std::unique_ptr<UsageBudget> budget;
    std::deque<Waiter> waiters;
    // The member that pools offline tokens if it can be reached: the next after
    // the holder.
    std::string first_pool;
    // The member that this proxy uses for that; chosen when needed.
    std::string pool_address;
    // How many members were tried before it and did not answer.
    size_t lost_pools = 0;
    // The offline tokens that other proxies have transferred to this one.
    double pool = 0;
    TimePoint pool_deposit_at{};
    // When the last refused caller was told to return.
    TimePoint last_return_at{};
  };

  void ChooseHolder(const CustomerName& name, Customer& customer);
  // Starts an account, with the time since which this proxy is its holder.
  void StartAccount(const CustomerName& name,
                    Customer& customer,
                    TimePoint became_holder_at,
                    TimePoint granting_from);
  UsageBudget& BudgetOf(Customer& customer);
  // Queries the holder if the budget needs it.
  void QueryIfDue(const CustomerName& name, Customer& customer);
  void Query(const CustomerName& name, Customer& customer, size_t waiting);
  void DidReceive(const CustomerName& name,
                  uint64_t number,
                  const std::optional<PeerAnswer>& answer);
  // Pools offline tokens if the budget needs it.
  void PoolIfDue(const CustomerName& name, Customer& customer);
  void Pool(const CustomerName& name, Customer& customer, size_t waiting);
  void DidReceivePool(const CustomerName& name,
                      uint64_t number,
                      const std::optional<PeerAnswer>& answer);
  void ChoosePool(Customer& customer) const;
  UsagePoolAnswer AnswerPool(const UsagePoolQuery& query);
  UsageAnswer Answer(const UsageQuery& query);
  // Returns the part of the offline rates unknown to the account that certainly
  // no proxy holds.
  double KnownShare(const UsageAccount& account) const;
  // Decides on the waiting operations, as far as possible.
  void ServeWaiters(const CustomerName& name, Customer& customer);
  UsageRefusal Refuse(const CustomerName& name, Customer& customer);
  void ScheduleTick(Duration delay);
  void RunTick();

  Context context;
  SeededRandom random;
  TimePoint started_at;
  std::map<CustomerName, Customer> customers;
  std::vector<Member> members;
  std::vector<uint64_t> member_hashes;
  std::optional<TimePoint> members_set_at;
  TimePoint members_changed_at{};
  TimePoint last_members_read_at{};
  // When the processes of other members started, at the earliest, as far as it
  // is known.
  std::map<std::string, TimePoint> start_by_address;
  std::map<WaitNumber, CustomerName> customer_by_wait;
  WaitNumber next_wait = 1;
  std::optional<TimePoint> tick_at;
  Scheduler::TimerId tick_timer = 0;
  uint64_t granted = 0;
  uint64_t refused_over_limit = 0;
  uint64_t refused_unknown = 0;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBUSAGE_USAGE_SERVICE_H_
