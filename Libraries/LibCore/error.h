#ifndef LIBCORE_ERROR_H_
#define LIBCORE_ERROR_H_

#include <string>
#include <tl/expected.hpp>
#include <utility>
#include <variant>

namespace kingcupmill {

// The kinds of failure that callers distinguish.
enum class ErrorCode {
  kInvalidInput,
  kNotFound,
  kConflict,
  kUnavailable,
  kTimeout,
  kInternal,
};

// The reason why an operation failed.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string message;
};

// A value or an Error, propagated with the macros at the end of this file.
template <typename T>
using Result = tl::expected<T, Error>;

// Returns a failed Result of any type.
inline tl::unexpected<Error> Fail(ErrorCode code, std::string message) {
  return tl::make_unexpected(Error{code, std::move(message)});
}

// A value or an Error that can be stored and passed between threads.
template <typename T>
using ValueOrError = std::variant<T, Error>;

// Runs `operation`, which returns Result<T>; returns a ValueOrError<T>.
template <typename Operation>
auto Capture(Operation&& operation) {
  using T = std::decay_t<decltype(operation().value())>;
  auto result = operation();
  if (!result)
    return ValueOrError<T>(std::move(result).error());
  return ValueOrError<T>(std::move(result).value());
}

// Runs `operation`, which returns Result<T>; `handle` maps its Error to a T.
template <typename Operation, typename Handler>
auto ValueOrHandled(Operation&& operation, Handler&& handle) {
  auto result = operation();
  if (!result)
    return handle(result.error());
  return std::move(result).value();
}

}  // namespace kingcupmill

#define KINGCUPMILL_ERROR_JOIN_(a, b) a##b
#define KINGCUPMILL_ERROR_NAME_(a, b) KINGCUPMILL_ERROR_JOIN_(a, b)
// `variable` is declared or assigned to, so it cannot be put in parentheses.
// NOLINTBEGIN(bugprone-macro-parentheses)
#define KINGCUPMILL_TRY_(result, variable, expression)       \
  auto result = (expression);                                \
  if (!result)                                               \
    return ::tl::make_unexpected(std::move(result).error()); \
  variable = std::move(result).value()
// NOLINTEND(bugprone-macro-parentheses)

// Declares `name` with the value of `expression`, or returns its error.
#define KINGCUPMILL_TRY(name, ...)                                        \
  KINGCUPMILL_TRY_(KINGCUPMILL_ERROR_NAME_(result_, __LINE__), auto name, \
                   (__VA_ARGS__))
// Assigns the value of `expression` to `target`, or returns its error.
#define KINGCUPMILL_TRY_ASSIGN(target, ...)                            \
  KINGCUPMILL_TRY_(KINGCUPMILL_ERROR_NAME_(result_, __LINE__), target, \
                   (__VA_ARGS__))
// Returns the error of the given Result from the calling function, if any.
#define KINGCUPMILL_RETURN_IF_ERROR(...)                        \
  do {                                                          \
    if (auto checked = (__VA_ARGS__); !checked)                 \
      return ::tl::make_unexpected(std::move(checked).error()); \
  } while (false)

#endif  // LIBCORE_ERROR_H_
