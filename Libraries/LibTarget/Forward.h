#ifndef LIBTARGET_FORWARD_H_
#define LIBTARGET_FORWARD_H_

namespace kingcupmill {

enum class TargetErrorCode;
enum class TargetOperation;
struct TargetRequest;
struct TargetResponse;
struct TargetStatus;

}  // namespace kingcupmill

#endif  // LIBTARGET_FORWARD_H_
