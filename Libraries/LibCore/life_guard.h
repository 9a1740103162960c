#ifndef LIBCORE_LIFE_GUARD_H_
#define LIBCORE_LIFE_GUARD_H_

#include <memory>
#include <utility>

namespace kingcupmill {

// Ties callbacks to the life of their owner: a wrapped callback that is called
// after the guard is gone does nothing. Make it the owner's last member, so
// that it goes first. For one thread only.
class LifeGuard {
 public:
  LifeGuard() = default;
  LifeGuard(const LifeGuard&) = delete;
  LifeGuard& operator=(const LifeGuard&) = delete;

  // Returns `callback`, which returns nothing, wrapped.
  template <typename Callback>
  auto Wrap(Callback callback) const {
    return [life = std::weak_ptr<int>(this->token),
            callback = std::move(callback)](auto&&... arguments) {
      // The token is not held while the callback runs, because the callback may
      // end the owner.
      if (!life.expired())
        callback(std::forward<decltype(arguments)>(arguments)...);
    };
  }

 private:
  std::shared_ptr<int> token = std::make_shared<int>(0);
};

}  // namespace kingcupmill

#endif  // LIBCORE_LIFE_GUARD_H_
