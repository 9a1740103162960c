#ifndef LIBPRIMARY_PRIMARY_RECORD_H_
#define LIBPRIMARY_PRIMARY_RECORD_H_

#include <cstdint>

#include "LibCore/names.h"

namespace kingcupmill {

// Whether proxies may use a primary.
enum class PrimaryState {
  kServing,
  // It is being replaced; nobody may use it.
  kClosing,
};

// What the store says of one group's primary.
struct PrimaryRecord {
  GroupName group;
  Term term;
  TargetName primary;
  PrimaryState state = PrimaryState::kServing;
  // It is replaced while it works, so open transactions get a moment to end.
  bool is_planned = false;
  // While closing: the target whose promotion was ordered last, or may have
  // been. No other target can lead a later term.
  TargetName ordered;
  // The version of the store in which this was written.
  uint64_t version = 0;
  friend bool operator==(const PrimaryRecord&, const PrimaryRecord&) = default;
};

}  // namespace kingcupmill

#endif  // LIBPRIMARY_PRIMARY_RECORD_H_
