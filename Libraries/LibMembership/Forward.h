#ifndef LIBMEMBERSHIP_FORWARD_H_
#define LIBMEMBERSHIP_FORWARD_H_

namespace kingcupmill {

struct Member;

}  // namespace kingcupmill

#endif  // LIBMEMBERSHIP_FORWARD_H_
