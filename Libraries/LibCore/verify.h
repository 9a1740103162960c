#ifndef LIBCORE_VERIFY_H_
#define LIBCORE_VERIFY_H_

namespace kingcupmill {

// Logs the condition that does not hold and aborts the process.
[[noreturn]] void VerifyFailed(const char* condition,
                               const char* file,
                               int line);

}  // namespace kingcupmill

// Aborts the process if an invariant of the program does not hold.
#define KINGCUPMILL_VERIFY(condition)                              \
  do {                                                             \
    if (!(condition))                                              \
      ::kingcupmill::VerifyFailed(#condition, __FILE__, __LINE__); \
  } while (false)

#endif  // LIBCORE_VERIFY_H_
