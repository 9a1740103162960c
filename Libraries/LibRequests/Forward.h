#ifndef LIBREQUESTS_FORWARD_H_
#define LIBREQUESTS_FORWARD_H_

namespace kingcupmill {

class GroupAgent;
class RetryBudget;
class TargetPool;
class TransactionTable;
struct ClientAnswer;
struct ClientRequest;
struct GroupAgentOptions;

}  // namespace kingcupmill

#endif  // LIBREQUESTS_FORWARD_H_
