#ifndef LIBSESSION_FORWARD_H_
#define LIBSESSION_FORWARD_H_

namespace kingcupmill {

class TokenCodec;
struct SessionToken;

}  // namespace kingcupmill

#endif  // LIBSESSION_FORWARD_H_
