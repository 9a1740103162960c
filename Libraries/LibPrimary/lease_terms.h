#ifndef LIBPRIMARY_LEASE_TERMS_H_
#define LIBPRIMARY_LEASE_TERMS_H_

#include "LibCore/time.h"

namespace kingcupmill {

// How long proxies may use a primary.
struct LeaseTerms {
  // How long a read of the store entitles a proxy to use a primary.
  Duration length{};
  // How long promises of the other homes can extend that, counted from the
  // read.
  Duration maximum_length{};
  // Added to each wait for a lease of another proxy to expire, to allow for
  // timers that fire late.
  Duration slack{};
};

}  // namespace kingcupmill

#endif  // LIBPRIMARY_LEASE_TERMS_H_
