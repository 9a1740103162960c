#ifndef REVIEW_STANDINS_3_SLOW_LINK_H_
#define REVIEW_STANDINS_3_SLOW_LINK_H_

#include <cstddef>
#include <string>

#include "socket.h"

namespace review {

// The link between a client and a proxy, with a bandwidth towards the client.
// It reads from the proxy no faster than that, in packets of an Ethernet link.
class SlowLink {
 public:
  SlowLink(std::string proxy_address, size_t bytes_per_second);
  const std::string& address() const { return this->own_address; }

 private:
  void Serve(Socket client) const;

  std::string proxy_address;
  size_t bytes_per_second;
  Socket listener;
  std::string own_address;
};

}  // namespace review

#endif  // REVIEW_STANDINS_3_SLOW_LINK_H_
