#include "LibCore/verify.h"

#include <spdlog/spdlog.h>

#include <cstdlib>

namespace kingcupmill {

void VerifyFailed(const char* condition, const char* file, int line) {
  spdlog::critical("invariant broken: {} at {}:{}", condition, file, line);
  spdlog::shutdown();
  std::abort();
}

}  // namespace kingcupmill
