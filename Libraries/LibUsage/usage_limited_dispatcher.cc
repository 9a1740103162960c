#include "LibUsage/usage_limited_dispatcher.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace kingcupmill {

namespace {

// The longest time that an operation waits for a token, also as a part of its
// latency target.
constexpr Duration kMaximumWait = std::chrono::milliseconds(100);
constexpr int kWaitDivisor = 5;

// A number for Cancel() says where the request is, so that a request that goes
// straight through needs no entry: the top bit is set for one that waits or has
// waited here, and the next seven hold the index of the dispatcher otherwise.
constexpr uint64_t kWaitingBit = uint64_t{1} << 63;
constexpr int kIndexShift = 56;
constexpr uint64_t kNumberMask = (uint64_t{1} << kIndexShift) - 1;

DispatchOutcome FailedOutcome(std::string message) {
  DispatchOutcome outcome;
  outcome.answer.error =
      StatementError{StatementErrorCode::kBusy, std::move(message)};
  return outcome;
}

}  // namespace

UsageLimitedDispatcher::UsageLimitedDispatcher(UsageService& usage,
                                               FindDispatcher find_dispatcher)
    : usage(usage), find_dispatcher(std::move(find_dispatcher)) {}

UsageLimitedDispatcher::~UsageLimitedDispatcher() {
  for (const auto& [number, waiting] : this->waiting) {
    if (!waiting.is_passed_on)
      this->usage.CancelWait(waiting.wait);
  }
}

RequestDispatcher::RequestNumber UsageLimitedDispatcher::Submit(
    DispatchRequest request,
    DispatchCallback did_finish) {
  if (request.customer.value.empty() ||
      !this->usage.is_limited(request.customer))
    return this->PassOn(std::move(request), std::move(did_finish));
  const Duration limit =
      std::min(kMaximumWait, request.route.target_latency / kWaitDivisor);
  const auto decision = this->usage.Decide(request.customer, limit);
  if (!decision) {
    const RequestNumber number = this->next_number++;
    const CustomerName customer = request.customer;
    this->waiting.emplace(
        number, WaitingRequest{std::move(request), std::move(did_finish)});
    this->waiting.at(number).wait = this->usage.Wait(
        customer, limit,
        this->life.Wrap([this, number](const UsageDecision& decided) {
          this->DidDecide(number, decided);
        }));
    return number | kWaitingBit;
  }
  if (const auto* refusal = std::get_if<UsageRefusal>(&*decision)) {
    did_finish(Refused(*refusal));
    return 0;
  }
  did_finish = this->ReturningToken(
      request.customer, std::get<UsageToken>(*decision), std::move(did_finish));
  return this->PassOn(std::move(request), std::move(did_finish));
}

RequestDispatcher::RequestNumber UsageLimitedDispatcher::PassOn(
    DispatchRequest request,
    DispatchCallback did_finish) {
  RequestDispatcher* dispatcher = this->find_dispatcher();
  if (!dispatcher) {
    did_finish(FailedOutcome("no targets"));
    return 0;
  }
  auto found =
      std::find(this->dispatchers.begin(), this->dispatchers.end(), dispatcher);
  if (found == this->dispatchers.end())
    found = this->dispatchers.insert(found, dispatcher);
  const auto index = static_cast<uint64_t>(found - this->dispatchers.begin());
  const RequestNumber number =
      dispatcher->Submit(std::move(request), std::move(did_finish));
  // Offset by one, since 0 stands for no request.
  return ((index + 1) << kIndexShift) | (number & kNumberMask);
}

DispatchCallback UsageLimitedDispatcher::ReturningToken(
    const CustomerName& customer,
    const UsageToken& token,
    DispatchCallback did_finish) {
  return [did_finish = std::move(did_finish),
          return_token = this->life.Wrap([this, customer, token] {
            this->usage.Return(customer, token);
          })](DispatchOutcome outcome) {
    const auto& error = outcome.answer.error;
    if (error && error->code == StatementErrorCode::kBusy)
      return_token();
    did_finish(std::move(outcome));
  };
}

void UsageLimitedDispatcher::DidDecide(RequestNumber number,
                                       const UsageDecision& decision) {
  const auto found = this->waiting.find(number);
  if (found == this->waiting.end())
    return;
  WaitingRequest waiting = std::move(found->second);
  if (const auto* refusal = std::get_if<UsageRefusal>(&decision)) {
    this->waiting.erase(found);
    return waiting.did_finish(Refused(*refusal));
  }
  // The entry stays until the request ends, so that it can be cancelled.
  const CustomerName customer = waiting.request.customer;
  DispatchCallback did_finish = this->ReturningToken(
      customer, std::get<UsageToken>(decision), std::move(waiting.did_finish));
  const RequestNumber passed_on = this->PassOn(
      std::move(waiting.request), [did_finish = std::move(did_finish),
                                   erase = this->life.Wrap([this, number] {
                                     this->waiting.erase(number);
                                   })](DispatchOutcome outcome) {
        erase();
        did_finish(std::move(outcome));
      });
  const auto entry = this->waiting.find(number);
  if (entry == this->waiting.end())
    return;
  entry->second.passed_on = passed_on;
  entry->second.is_passed_on = true;
}

void UsageLimitedDispatcher::Cancel(RequestNumber number) {
  if (number == 0)
    return;
  if ((number & kWaitingBit) == 0) {
    const size_t index = (number >> kIndexShift) - 1;
    return this->dispatchers.at(index)->Cancel(number & kNumberMask);
  }
  const auto found = this->waiting.find(number & ~kWaitingBit);
  if (found == this->waiting.end())
    return;
  const WaitingRequest waiting = std::move(found->second);
  this->waiting.erase(found);
  if (waiting.is_passed_on)
    return this->Cancel(waiting.passed_on);
  this->usage.CancelWait(waiting.wait);
}

DispatchOutcome UsageLimitedDispatcher::Refused(const UsageRefusal& refusal) {
  return FailedOutcome(fmt::format(
      "{}; retry after {} ms",
      refusal.is_limit_unknown ? "usage limit unknown" : "over the usage limit",
      ToMilliseconds(refusal.retry_after)));
}

}  // namespace kingcupmill
