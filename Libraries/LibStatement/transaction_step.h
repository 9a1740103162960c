#ifndef LIBSTATEMENT_TRANSACTION_STEP_H_
#define LIBSTATEMENT_TRANSACTION_STEP_H_

namespace kingcupmill {

// What a statement does in its transaction.
enum class TransactionStep { kRead, kWrite, kCommit };

}  // namespace kingcupmill

#endif  // LIBSTATEMENT_TRANSACTION_STEP_H_
