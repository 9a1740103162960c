#include "LibWire/http_client.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <chrono>
#include <string>

#include "LibWire/http_message.h"

namespace kingcupmill {

namespace {

// Nothing listens here.
constexpr const char* kAddress = "127.0.0.1:20959";
constexpr Duration kTimeout = std::chrono::milliseconds(500);

HttpRequest MakeRequest() {
  HttpRequest request;
  request.method = "GET";
  request.path = "/path";
  return request;
}

ErrorCode SendTo(const std::string& address, const HttpRequest& request) {
  HttpClient client(address, kTimeout);
  const Result<HttpResponse> response = client.SendAndWait(request);
  return response ? ErrorCode::kInternal : response.error().code;
}

}  // namespace

// Guards against a text from outside that makes cpprestsdk throw on the event
// loop, which ends the process.
TEST_CASE("an HTTP request that is malformed") {
  HttpRequest request = MakeRequest();

  SUBCASE("fails if its path or query is no part of a URI") {
    request.query = "from=old rack/14";
    CHECK(SendTo(kAddress, request) == ErrorCode::kInvalidInput);
    request = MakeRequest();
    request.path = "/blobs/old rack";
    CHECK(SendTo(kAddress, request) == ErrorCode::kInvalidInput);
  }

  SUBCASE("fails if its server has no valid address") {
    for (const char* address : {"", "old rack:1", "[::1", "127.0.0.1:x"}) {
      CAPTURE(address);
      CHECK(SendTo(address, request) != ErrorCode::kInternal);
    }
  }

  SUBCASE("fails if a header could add another one") {
    request.headers = {{"Duty-Holder", "a\r\nFence-Token: 9"}};
    CHECK(SendTo(kAddress, request) == ErrorCode::kInvalidInput);
  }

  SUBCASE("is never thrown back") {
    CHECK(rc::check("any text in each part", [](const std::string& text) {
      HttpRequest odd = MakeRequest();
      odd.query = text;
      odd.headers = {{"Name", text}};
      // Nothing responds, so the request fails in any case.
      RC_ASSERT(SendTo(kAddress, odd) != ErrorCode::kInternal);
      odd = MakeRequest();
      odd.path = "/" + text;
      RC_ASSERT(SendTo(kAddress, odd) != ErrorCode::kInternal);
    }));
  }
}

}  // namespace kingcupmill
