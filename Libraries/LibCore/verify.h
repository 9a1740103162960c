#ifndef LIBCORE_VERIFY_H_
#define LIBCORE_VERIFY_H_

namespace kingcupmill {

// Logs the broken invariant and aborts the process.
[[noreturn]] void VerifyFailed(const char* condition,
                               const char* file,
                               int line);

}  // namespace kingcupmill

// Stops the process when an invariant of the program itself is broken.
#define KINGCUPMILL_VERIFY(condition)                              \
  do {                                                             \
    if (!(condition))                                              \
      ::kingcupmill::VerifyFailed(#condition, __FILE__, __LINE__); \
  } while (false)

#endif  // LIBCORE_VERIFY_H_
