#ifndef LIBLINK_FORWARD_H_
#define LIBLINK_FORWARD_H_

namespace kingcupmill {

enum class ConnectionFailure;
enum class TargetCommandKind;
struct ChannelHandlers;
struct TargetCommand;
struct TargetDialers;
struct TargetEndpoint;
class ConnectionPool;
class PooledConnection;
class TargetChannel;
class TargetDialer;

}  // namespace kingcupmill

#endif  // LIBLINK_FORWARD_H_
