#ifndef LIBUSAGE_USAGE_LIMITED_DISPATCHER_H_
#define LIBUSAGE_USAGE_LIMITED_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "LibCore/lifetime_guard.h"
#include "LibDispatch/request_dispatcher.h"
#include "LibUsage/usage_service.h"

namespace kingcupmill {

// Passes requests on to the dispatcher of their group once their customer's
// usage limit allows it. Requests without a limit go straight through. When
// this is destroyed, requests that wait are dropped without an outcome.
class UsageLimitedDispatcher final : public RequestDispatcher {
 public:
  // Returns the dispatcher that runs requests now, or null. It must outlive
  // this dispatcher.
  using FindDispatcher = std::function<RequestDispatcher*()>;

  UsageLimitedDispatcher(UsageService& usage, FindDispatcher find_dispatcher);
  ~UsageLimitedDispatcher() override;

  // RequestDispatcher:
  RequestNumber Submit(DispatchRequest request,
                       DispatchCallback did_finish) override;
  void Cancel(RequestNumber number) override;

  size_t waiting_count() const { return this->waiting.size(); }

 private:
  // A request that waits for a token, or has waited for one.
  struct WaitingRequest {
    DispatchRequest request;
    DispatchCallback did_finish;
    UsageService::WaitNumber wait = 0;
    // Set once it has been passed on.
    RequestNumber passed_on = 0;
    bool is_passed_on = false;
  };

  // Passes a request on and returns a number for Cancel().
  RequestNumber PassOn(DispatchRequest request, DispatchCallback did_finish);
  // Wraps a callback so that a request that has not run returns its token.
  DispatchCallback ReturningToken(const CustomerName& customer,
                                  const UsageToken& token,
                                  DispatchCallback did_finish);
  void DidDecide(RequestNumber number, const UsageDecision& decision);
  static DispatchOutcome Refused(const UsageRefusal& refusal);

  UsageService& usage;
  FindDispatcher find_dispatcher;
  // All dispatchers that requests were passed on to; a group has two at most.
  std::vector<RequestDispatcher*> dispatchers;
  std::map<RequestNumber, WaitingRequest> waiting;
  RequestNumber next_number = 1;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBUSAGE_USAGE_LIMITED_DISPATCHER_H_
