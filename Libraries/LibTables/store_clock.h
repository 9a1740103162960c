#ifndef LIBTABLES_STORE_CLOCK_H_
#define LIBTABLES_STORE_CLOCK_H_

#include <optional>

#include "LibCore/time.h"

namespace kingcupmill {

// Estimates when the store made an answer, on this proxy's clock.
//
// The answer to a long poll reflects the store at the end of its wait, but all
// that is known without a shared clock is that this was after the poll was
// sent. An answer that came quickly ties the store's clock to this proxy's with
// a small error, and the times of later answers follow from it.
class StoreClock {
 public:
  // Returns a lower bound of when the store made an answer that showed
  // `store_time`. Its request was sent at `sent_at`, and it was received at
  // `received_at`.
  TimePoint MadeAt(TimePoint sent_at,
                   TimePoint received_at,
                   std::optional<Duration> store_time);

 private:
  struct Reference {
    // The store made an answer at `store_time`, no earlier than `local_time`.
    Duration store_time{};
    TimePoint local_time{};
  };

  // Returns the local time of `store_time` by the reference, earlier by the
  // possible drift between the clocks.
  TimePoint LocalTime(Duration store_time) const;

  std::optional<Reference> reference;
};

}  // namespace kingcupmill

#endif  // LIBTABLES_STORE_CLOCK_H_
