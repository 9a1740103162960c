#ifndef LIBCORE_LIFETIME_GUARD_H_
#define LIBCORE_LIFETIME_GUARD_H_

#include <memory>
#include <utility>

namespace kingcupmill {

// Ties callbacks to the lifetime of their owner: a wrapped callback does
// nothing once the guard is destroyed. Declare the guard as the owner's last
// member, so that it is destroyed first. Not thread-safe.
class LifetimeGuard {
 public:
  LifetimeGuard() = default;
  LifetimeGuard(const LifetimeGuard&) = delete;
  LifetimeGuard& operator=(const LifetimeGuard&) = delete;

  // Wraps `callback`, which must return void.
  template <typename Callback>
  auto Wrap(Callback callback) const {
    return [weak_token = std::weak_ptr<int>(this->token),
            callback = std::move(callback)](auto&&... arguments) {
      // The token is not locked while the callback runs, because the callback
      // may destroy the owner.
      if (!weak_token.expired())
        callback(std::forward<decltype(arguments)>(arguments)...);
    };
  }

 private:
  std::shared_ptr<int> token = std::make_shared<int>(0);
};

}  // namespace kingcupmill

#endif  // LIBCORE_LIFETIME_GUARD_H_
