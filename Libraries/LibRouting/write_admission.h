#ifndef LIBROUTING_WRITE_ADMISSION_H_
#define LIBROUTING_WRITE_ADMISSION_H_

#include <optional>

#include "LibCore/time.h"
#include "LibFailover/group_view.h"

namespace kingcupmill {

// Admits writes only while a majority of the group has recently confirmed the
// primary.
class WriteAdmission {
 public:
  struct Options {
    // How recent the majority confirmation must be.
    Duration confirmation_window = std::chrono::milliseconds(500);
  };

  explicit WriteAdmission(Options options) : options(options) {}

  // Returns the primary to send a write to, or nothing when no write may be
  // sent now.
  std::optional<PrimaryView> Admit(TimePoint now, const GroupView& view) const {
    auto primary = view.primary();
    const auto confirmed_at = view.majority_confirmed_at();
    if (!primary || !confirmed_at)
      return std::nullopt;
    if (now - *confirmed_at > this->options.confirmation_window)
      return std::nullopt;
    return primary;
  }

 private:
  Options options;
};

}  // namespace kingcupmill

#endif  // LIBROUTING_WRITE_ADMISSION_H_
