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

// Opens channels to targets over connections that other proxies lend. Used when
// this proxy has no network path to a target and when its own share of
// connections is in use.
class RelayDialer final : public TargetDialer {
 public:
  // Another proxy that may lend a connection.
  struct Lender {
    std::string address;
    PlaceName place;
  };
  // Returns the proxies that may have connections to the targets of a group.
  using Lenders = std::function<std::vector<Lender>(const GroupName&)>;

  // `loan_prefix` makes the names of loans unique among all proxies.
  RelayDialer(Scheduler& scheduler,
              PeerLinks& peers,
              Lenders lenders,
              PlaceName place,
              std::string loan_prefix,
              uint64_t seed);

  std::unique_ptr<TargetChannel> Dial(const TargetEndpoint& endpoint,
                                      ChannelHandlers handlers) override;

 private:
  class Channel;
  using Key = std::pair<TargetName, std::string>;

  // Returns the address of the proxy to borrow from, or "" without any.
  std::string ChooseLender(const TargetEndpoint& endpoint);
  void DidFailToLend(const TargetName& target, const std::string& lender);

  Scheduler& scheduler;
  PeerLinks& peers;
  Lenders lenders;
  PlaceName place;
  std::string loan_prefix;
  SeededRandom random;
  uint64_t next_loan = 1;
  // When a proxy last failed to provide a connection to a target.
  std::map<Key, TimePoint> failed_at;
};

}  // namespace kingcupmill

#endif  // LIBRELAY_RELAY_DIALER_H_
