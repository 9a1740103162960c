#ifndef LIBCORE_ERROR_H_
#define LIBCORE_ERROR_H_

#include <boost/leaf.hpp>
#include <string>
#include <utility>
#include <variant>

namespace kingcupmill {

// Classifies why an operation failed.
enum class ErrorCode {
  kInvalidInput,
  kNotFound,
  kConflict,
  kUnavailable,
  kTimeout,
  kInternal,
};

// Describes one failure; carried by Boost.LEAF to the handler.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string message;
};

// A value or an Error, propagated with BOOST_LEAF_AUTO and BOOST_LEAF_CHECK.
template <typename T>
using Result = boost::leaf::result<T>;

// Returns a failed Result of any type.
inline boost::leaf::error_id Fail(ErrorCode code, std::string message) {
  return boost::leaf::new_error(Error{code, std::move(message)});
}

// A value or an Error that can be stored and passed between threads.
template <typename T>
using ValueOrError = std::variant<T, Error>;

// Runs `operation`, which returns Result<T>, and stores its error if it fails.
template <typename Operation>
auto Capture(Operation&& operation) {
  using T = std::decay_t<decltype(operation().value())>;
  return boost::leaf::try_handle_all(
      [&]() -> Result<ValueOrError<T>> {
        BOOST_LEAF_AUTO(value, operation());
        return ValueOrError<T>(std::move(value));
      },
      [](const Error& error) { return ValueOrError<T>(error); },
      [] {
        return ValueOrError<T>(Error{ErrorCode::kInternal, "unknown error"});
      });
}

}  // namespace kingcupmill

#endif  // LIBCORE_ERROR_H_
