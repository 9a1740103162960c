#ifndef LIBGATEWAY_ISOLATION_WATCH_H_
#define LIBGATEWAY_ISOLATION_WATCH_H_

#include <cstddef>
#include <optional>

#include "LibCore/time.h"

namespace kingcupmill {

// Decides whether this proxy is cut off while others are not, so that new
// sessions should go to them: most primaries leave it without an answer, and no
// proxy of another place answers either. A proxy that is alone because the
// others are down reaches the primaries and goes on.
class IsolationWatch {
 public:
  struct Sight {
    size_t groups = 0;
    // Groups whose primary has left questions unanswered.
    size_t silent_groups = 0;
    // Proxies of other places that should be there.
    size_t others = 0;
    // How long ago one of them was last heard.
    Duration heard_age{};
  };

  // Takes what is seen at `now`.
  void DidSee(const Sight& sight, TimePoint now);

  // Whether others should be asked for a sign of life now.
  bool should_ask() const { return this->is_suspected; }
  bool is_isolated() const { return this->isolated_since.has_value(); }
  // Since when the proxy has known that it is cut off.
  std::optional<TimePoint> since() const { return this->isolated_since; }

 private:
  bool is_suspected = false;
  std::optional<TimePoint> suspected_since;
  std::optional<TimePoint> isolated_since;
};

}  // namespace kingcupmill

#endif  // LIBGATEWAY_ISOLATION_WATCH_H_
