#ifndef LIBSQL_FORWARD_H_
#define LIBSQL_FORWARD_H_

namespace kingcupmill {

struct ResultSet;
struct Statement;

}  // namespace kingcupmill

#endif  // LIBSQL_FORWARD_H_
