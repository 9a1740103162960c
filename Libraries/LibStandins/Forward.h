#ifndef LIBSTANDINS_FORWARD_H_
#define LIBSTANDINS_FORWARD_H_

namespace kingcupmill {

class PlatformServer;
class ReplicaMember;
class ReplicationLog;
class SqliteDatabase;
class StandinNetwork;
class StandinTarget;
class TargetListener;

}  // namespace kingcupmill

#endif  // LIBSTANDINS_FORWARD_H_
