#include "LibPlatform/http_platform_client.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "LibPlatform/vm_record.h"
#include "LibStandins/platform_server.h"
#include "LibWire/event_loop.h"

namespace kingcupmill {

// Guards against a digest in a row of another writer that ends the proxy when
// it is put into a path.
TEST_CASE("names with reserved characters in the paths of the platform") {
  constexpr const char* kAddress = "127.0.0.1:20958";
  EventLoop loop;
  const auto server = PlatformServer::Create(loop, kAddress);
  REQUIRE(server.has_value());
  loop.Start();
  HttpPlatformClient client(kAddress, std::chrono::seconds(2));
  for (const char* name : {"old rack/14", "a?b=c", "d#e", "50%", "f%20g"}) {
    CAPTURE(name);
    CHECK(client.ReadBlob(name).error().code == ErrorCode::kNotFound);
    REQUIRE(client.WriteBlob(name, name).has_value());
    CHECK(client.ReadBlob(name) == std::string(name));
    CHECK(client.WriteRow(name, name, 0) == WriteOutcome::kWritten);
    const auto row = client.ReadRow(name);
    REQUIRE(row.has_value());
    CHECK(row->value == name);
  }
  loop.Stop();
}

}  // namespace kingcupmill
