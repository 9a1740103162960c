#include "LibWire/line_connection.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include "LibWire/event_loop.h"

namespace kingcupmill {

namespace {

constexpr const char* kPort = ":23912";

// Returns an address of the loopback network that differs between processes, so
// that several of them can run this test at the same time.
std::string LocalAddress() {
  const int process = getpid();
  return "127." + std::to_string(100 + (process >> 16 & 0x7f)) + "." +
         std::to_string(process >> 8 & 0xff) + "." +
         std::to_string(process & 0xff) + kPort;
}

// Runs `task` on the loop and waits for its result.
template <typename Task>
auto RunOn(EventLoop& loop, Task task) {
  std::promise<decltype(task())> result;
  loop.Post([&] { result.set_value(task()); });
  return result.get_future().get();
}

// Waits until `condition` holds on the loop; only a failure takes the whole
// time.
template <typename Condition>
bool WaitFor(EventLoop& loop, Condition condition) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (std::chrono::steady_clock::now() < end) {
    if (RunOn(loop, condition))
      return true;
    usleep(2'000);
  }
  return false;
}

}  // namespace

TEST_CASE("line connection") {
  EventLoop loop;
  std::shared_ptr<LineConnection> server;
  std::vector<std::string> lines;
  size_t pause_after = 0;
  const auto listener = LineListener::Create(
      loop, LocalAddress(), [&](std::shared_ptr<LineConnection> accepted) {
        server = std::move(accepted);
        LineHandlers handlers;
        handlers.did_receive_line = [&](std::string_view line) {
          lines.emplace_back(line);
          if (lines.size() == pause_after)
            server->PauseReading();
        };
        LineListener::SetHandlers(*server, std::move(handlers));
      });
  REQUIRE(listener);
  loop.Start();
  const auto client = RunOn(loop, [&] {
    return LineConnection::Connect(loop, LocalAddress(), LineHandlers{});
  });
  // The connection may be established before its end here has been accepted.
  REQUIRE(WaitFor(loop, [&] { return server != nullptr; }));
  const auto send = [&](const std::string& bytes) {
    loop.Post([client, bytes] { client->Send(bytes); });
  };
  const auto has_lines = [&](size_t count) {
    return WaitFor(loop, [&] { return lines.size() == count; });
  };

  SUBCASE("passes on lines that arrive together") {
    send("a\r\nb\r\nc");
    REQUIRE(has_lines(2));
    CHECK(WaitFor(loop, [&] { return server->received_bytes() == 1; }));
    send("d\r\n");
    REQUIRE(has_lines(3));
    CHECK(lines.back() == "cd");
  }

  SUBCASE("holds back the rest while reading is paused") {
    pause_after = 1;
    send("a\r\nb\r\nc\r\n");
    REQUIRE(has_lines(1));
    // More than the buffers of the system would be read without the pause.
    for (int count = 0; count < 16; ++count)
      send(std::string(200'000, 'x') + "\r\n");
    usleep(50'000);
    CHECK(RunOn(loop, [&] { return lines.size(); }) == 1);
    CHECK(RunOn(loop, [&] { return server->held_bytes(); }) < 10'000);

    SUBCASE("and goes on where it stopped") {
      loop.Post([&] { server->ResumeReading(); });
      REQUIRE(has_lines(19));
      CHECK(lines[1] == "b");
      CHECK(lines[18].size() == 200'000);
    }
  }

  SUBCASE("closes although its peer does not read") {
    loop.Post([&] {
      client->PauseReading();
      server->Send(std::string(3U << 20U, 'x') + "\r\n");
    });
    // A connection that was closed holds itself until it has ended.
    const auto closed = RunOn(loop, [&] {
      server->Close();
      return std::weak_ptr<LineConnection>(std::exchange(server, nullptr));
    });
    CHECK(WaitFor(loop, [&] { return closed.expired(); }));
  }
  loop.Post([&] {
    client->Abort();
    if (server)
      server->Abort();
    loop.Finish();
  });
  loop.Stop();
}

}  // namespace kingcupmill
