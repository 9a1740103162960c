#ifndef LIBUSAGE_FORWARD_H_
#define LIBUSAGE_FORWARD_H_

namespace kingcupmill {

class UsageAccount;
class UsageBudget;
class UsageLimitedDispatcher;
class UsageService;
struct UsageTerms;
struct UsageToken;

}  // namespace kingcupmill

#endif  // LIBUSAGE_FORWARD_H_
