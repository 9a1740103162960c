#ifndef LIBLINK_FORWARD_H_
#define LIBLINK_FORWARD_H_

namespace kingcupmill {

enum class LinkFailure;
enum class TargetCommandKind;
struct LinkHandlers;
struct TargetCommand;
struct TargetDialers;
struct TargetEndpoint;
class LinkPool;
class TargetChannel;
class TargetDialer;
class TargetLink;

}  // namespace kingcupmill

#endif  // LIBLINK_FORWARD_H_
