#include "slow_link.h"

#include <chrono>
#include <memory>
#include <thread>
#include <utility>

namespace review {

namespace {

// What an Ethernet packet carries.
constexpr int kSegmentBytes = 1448;
// The window of the receiving end.
constexpr int kReceiveBytes = 32 << 10;
constexpr int kPacketsPerSecond = 100;

}  // namespace

SlowLink::SlowLink(std::string proxy_address, size_t bytes_per_second)
    : proxy_address(std::move(proxy_address)),
      bytes_per_second(bytes_per_second),
      listener(Socket::Listen("127.0.0.1", 0)),
      own_address("127.0.0.1:" + std::to_string(this->listener.port())) {
  std::thread([this] {
    for (;;) {
      Socket client = this->listener.Accept();
      if (!client.is_valid())
        return;
      auto accepted = std::make_shared<Socket>(std::move(client));
      std::thread([this, accepted] {
        this->Serve(std::move(*accepted));
      }).detach();
    }
  }).detach();
}

void SlowLink::Serve(Socket client) const {
  const Socket proxy =
      Socket::Connect(this->proxy_address, kSegmentBytes, kReceiveBytes);
  std::thread upstream([&] {
    std::string bytes;
    while (client.Receive(bytes) && proxy.Send(bytes))
      bytes.clear();
    proxy.Shutdown();
  });
  auto next = std::chrono::steady_clock::now();
  const auto interval =
      std::chrono::microseconds(1'000'000 / kPacketsPerSecond);
  std::string bytes;
  while (proxy.Receive(bytes, this->bytes_per_second / kPacketsPerSecond) &&
         client.Send(bytes)) {
    const auto now = std::chrono::steady_clock::now();
    const auto taken = std::chrono::microseconds(bytes.size() * 1'000'000 /
                                                 this->bytes_per_second);
    next = std::max(next, now - interval) + taken;
    std::this_thread::sleep_until(next);
    bytes.clear();
  }
  client.Shutdown();
  upstream.join();
}

}  // namespace review
