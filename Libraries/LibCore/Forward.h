#ifndef LIBCORE_FORWARD_H_
#define LIBCORE_FORWARD_H_

namespace kingcupmill {

enum class ErrorCode;
struct Error;
struct LogPoint;
class DecisionLog;

}  // namespace kingcupmill

#endif  // LIBCORE_FORWARD_H_
