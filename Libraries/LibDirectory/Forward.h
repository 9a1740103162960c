#ifndef LIBDIRECTORY_FORWARD_H_
#define LIBDIRECTORY_FORWARD_H_

namespace kingcupmill {

enum class RouteKind;
enum class TargetState;
struct CallerRoute;
struct GroupDeclaration;
struct RouteTable;
struct TargetEntry;
class TargetDirectory;

}  // namespace kingcupmill

#endif  // LIBDIRECTORY_FORWARD_H_
