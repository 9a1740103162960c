#ifndef LIBRELAY_FORWARDING_DISPATCHER_H_
#define LIBRELAY_FORWARDING_DISPATCHER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibCore/lifetime_guard.h"
#include "LibCore/scheduler.h"
#include "LibDispatch/request_dispatcher.h"
#include "LibDispatch/zone_balancer.h"
#include "LibDispatch/zone_traffic.h"
#include "LibPeer/peer_links.h"
#include "LibRelay/home_chooser.h"

namespace kingcupmill {

class EventLog;

// Dispatches the statements of a group of which this proxy is not a home. It
// forwards them to homes of the group, which queue them, choose the target and
// hold the lease on the primary. A write is forwarded again only when it is
// known not to have run. A read may run twice, and a start of a transaction
// whose answer was lost is rolled back and repeated.
class ForwardingDispatcher final : public RequestDispatcher {
 public:
  using Homes = std::function<std::vector<Home>()>;

  struct Context {
    Scheduler& scheduler;
    PeerLinks& peers;
    EventLog& event_log;
    // Shared by all groups, because a proxy is a home of several groups and its
    // health is the same for all of them.
    HomeChooser& chooser;
    GroupName group;
    // The place of this proxy.
    PlaceName place;
    Homes homes;
    // Returns whether this proxy is known to be isolated from other places.
    std::function<bool()> is_isolated;
    // Makes the names of queries unique among all proxies.
    std::string query_name_prefix;
    ZoneTraffic zone_traffic = ZoneTraffic::kFixedPenalty;
  };

  explicit ForwardingDispatcher(Context context);
  ~ForwardingDispatcher() override;

  // RequestDispatcher:
  RequestNumber Submit(DispatchRequest request,
                       DispatchCallback did_finish) override;
  void Cancel(RequestNumber number) override;

  // Returns how long the primary has left queries of a home in this place
  // unanswered, as reported by such a home in its latest answer; zero without a
  // recent report. When no home is in this place, returns how long all homes
  // have been silent.
  Duration PrimarySilence() const;

  // Returns whether the group has a home in this proxy's place.
  bool has_home_in_own_place() const;

  const ZoneBalancer& zone_balancer() const { return this->balancer; }

  // Returns the number of statements that have not finished.
  size_t open_count() const { return this->pending_by_number.size(); }

 private:
  class Transaction;
  struct PendingRequest;
  using PendingRequestPointer = std::shared_ptr<PendingRequest>;

  void ForwardToAnyHome(const PendingRequestPointer& pending);
  // Returns a home for a statement, or nothing.
  std::optional<std::string> ChooseHome(const PendingRequest& pending);
  bool is_elsewhere(const std::string& address) const;
  // Records for the balance between zones how a home served a statement.
  void DidServe(const DispatchRequest& request,
                const std::string& address,
                const ForwardAnswer* answer);
  void ForwardTo(const PendingRequestPointer& pending,
                 const std::string& address);
  void DidReceive(const PendingRequestPointer& pending,
                  const std::string& address,
                  const std::string& name,
                  const std::optional<PeerAnswer>& answer);
  void DidLoseAnswer(const PendingRequestPointer& pending);
  void DidReportPrimarySilence(const std::string& address, Duration silence);
  void DidReachHedgeDelay(const PendingRequestPointer& pending);
  void Finish(const PendingRequestPointer& pending, DispatchOutcome outcome);
  void Refuse(const PendingRequestPointer& pending);
  // Asks a home to roll back a transaction that it may have opened.
  void RollBack(const std::string& address, const std::string& name);
  std::unique_ptr<CallerTransaction> Open(const PendingRequest& pending,
                                          const std::string& address,
                                          const std::string& name);

  Context context;
  std::map<RequestNumber, PendingRequestPointer> pending_by_number;
  // The primary's silence as last reported by a home of this place, and when.
  Duration reported_silence{};
  TimePoint reported_at{};
  ZoneBalancer balancer;
  RequestNumber next_number = 1;
  uint64_t next_query = 1;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBRELAY_FORWARDING_DISPATCHER_H_
