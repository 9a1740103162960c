#ifndef LIBTABLES_FORWARD_H_
#define LIBTABLES_FORWARD_H_

namespace kingcupmill {

struct StoreRow;
struct TableChange;
struct TableSnapshot;
struct TargetEntry;
class RouteTable;
class RowStore;
class TableCache;

}  // namespace kingcupmill

#endif  // LIBTABLES_FORWARD_H_
