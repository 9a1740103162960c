#ifndef LIBTABLES_FORWARD_H_
#define LIBTABLES_FORWARD_H_

namespace kingcupmill {

struct StoreRow;
struct TableChange;
struct TableSnapshot;
struct TargetEntry;
class RouteTable;
class RowStore;
class TableFollower;

}  // namespace kingcupmill

#endif  // LIBTABLES_FORWARD_H_
