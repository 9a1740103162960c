#ifndef LIBRELAY_RELAY_DIALER_H_
#define LIBRELAY_RELAY_DIALER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/names.h"
#include "LibCore/random_source.h"
#include "LibCore/scheduler.h"
#include "LibLink/target_channel.h"
#include "LibPeer/peer_links.h"

namespace kingcupmill {

// Reaches targets over connections that other proxies lend: when a path is cut,
// and when this proxy's own share of connections is in use.
class RelayDialer final : public TargetDialer {
 public:
  // Another proxy that may lend.
  struct Lender {
    std::string address;
    PlaceName place;
  };
  using Lenders = std::function<std::vector<Lender>(const GroupName&)>;

  // `loan_prefix` makes the names of loans unique.
  RelayDialer(Scheduler& scheduler,
              PeerLinks& peers,
              Lenders lenders,
              PlaceName place,
              std::string loan_prefix,
              uint64_t seed);

  std::unique_ptr<TargetChannel> Dial(const TargetEndpoint& endpoint,
                                      LinkHandlers handlers) override;

 private:
  class Channel;
  using Key = std::pair<TargetName, std::string>;

  // Returns the address of the proxy to ask, or "".
  std::string ChooseLender(const TargetEndpoint& endpoint);
  void DidRefuse(const TargetName& target, const std::string& lender);

  Scheduler& scheduler;
  PeerLinks& peers;
  Lenders lenders;
  PlaceName place;
  std::string loan_prefix;
  SeededRandom random;
  uint64_t next_loan = 1;
  // When a proxy last refused to lend a connection to a target.
  std::map<Key, TimePoint> refused_at;
};

}  // namespace kingcupmill

#endif  // LIBRELAY_RELAY_DIALER_H_
