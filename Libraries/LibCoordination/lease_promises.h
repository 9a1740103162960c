#ifndef LIBCOORDINATION_LEASE_PROMISES_H_
#define LIBCOORDINATION_LEASE_PROMISES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/names.h"
#include "LibCore/time.h"
#include "LibPeer/peer_query.h"

namespace kingcupmill {

struct MemberRecord;

// The promises of other proxies to start no handover for a while. With those of
// most homes of a group, this proxy extends its lease when it cannot read the
// store.
//
// A coordinator waits only briefly for silent homes that are at most half of
// all. So either a home that promised has answered it, and it waits until that
// promise expires, or the silent homes cannot have extended a lease. For this,
// each home counts all rows of homes in its view, whatever their state, and a
// coordinator counts those that registered recently as silent: such a process
// may not know what an earlier one at its address has promised.
class LeasePromises {
 public:
  using Members = std::map<std::string, MemberRecord>;

  // Records the answer of the member at `address` to a query sent at `sent_at`.
  void DidReceive(const std::string& address,
                  const PromiseAnswer& answer,
                  TimePoint sent_at);

  // Returns until when most homes of `group`, with the one at `self_address`,
  // start no handover of the record with `version`; nothing when most have not
  // promised it.
  std::optional<TimePoint> PromisedUntil(const GroupName& group,
                                         uint64_t version,
                                         const Members& members,
                                         const std::string& self_address) const;

  // Returns the members whose promises should be renewed at `now`, and records
  // that they are asked.
  std::vector<std::string> TakeDue(const std::vector<std::string>& addresses,
                                   TimePoint now);

 private:
  struct Promise {
    PromiseAnswer answer;
    TimePoint until{};
  };

  std::map<std::string, Promise> promise_by_address;
  std::map<std::string, TimePoint> asked_at_by_address;
};

}  // namespace kingcupmill

#endif  // LIBCOORDINATION_LEASE_PROMISES_H_
