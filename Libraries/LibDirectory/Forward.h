#ifndef LIBDIRECTORY_FORWARD_H_
#define LIBDIRECTORY_FORWARD_H_

namespace kingcupmill {

enum class RouteKind;
enum class TargetState;
struct CallerRoute;
struct CustomerDeclaration;
struct GroupDeclaration;
struct RouteTable;
struct TargetEntry;
struct UsageLimit;
class CustomerTable;
class TargetDirectory;

}  // namespace kingcupmill

#endif  // LIBDIRECTORY_FORWARD_H_
