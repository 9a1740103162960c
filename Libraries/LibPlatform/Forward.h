#ifndef LIBPLATFORM_FORWARD_H_
#define LIBPLATFORM_FORWARD_H_

namespace kingcupmill {

class HttpPlatformClient;
struct PlatformRow;
struct VmRecord;

}  // namespace kingcupmill

#endif  // LIBPLATFORM_FORWARD_H_
