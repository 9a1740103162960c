#ifndef LIBWIRE_STATUS_SERVER_H_
#define LIBWIRE_STATUS_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "LibCore/error.h"
#include "LibCore/time.h"
#include "LibWire/Forward.h"

namespace kingcupmill {

class EventLoop;

// Serves short GET requests, such as readiness probes and metrics, over HTTP on
// an event loop. Unlike HttpServer it bounds the number of connections, the
// size of a request and the time for one, so that it can be reached by clients
// that do not behave. cpprestsdk's listener reads a header of any length, has
// no time limit for it and accepts any number of connections.
class StatusServer {
 public:
  // Called on the event loop with the path of a request.
  using Handler = std::function<HttpResponse(const std::string& path)>;

  struct Options {
    // "IP:port".
    std::string address;
    // When one more is opened, the connection that has been without a request
    // longest is closed.
    size_t maximum_connections = 64;
    // A longer header is answered with 431, a longer body with 413, and the
    // connection is closed.
    size_t maximum_header_bytes = size_t{8} << 10U;
    size_t maximum_body_bytes = size_t{8} << 10U;
    // The time for a whole request, including the wait for it on a connection
    // that is kept open, and for the client to read the response.
    Duration timeout = std::chrono::seconds(10);
  };

  // Starts to listen. Fails with kUnavailable when the address is taken.
  static Result<std::unique_ptr<StatusServer>> Create(EventLoop& loop,
                                                      Options options,
                                                      Handler handler);
  ~StatusServer();
  StatusServer(const StatusServer&) = delete;
  StatusServer& operator=(const StatusServer&) = delete;

 private:
  class Connection;
  struct State;
  explicit StatusServer(std::shared_ptr<State> state);
  static void Accept(const std::shared_ptr<State>& state);

  std::shared_ptr<State> state;
};

}  // namespace kingcupmill

#endif  // LIBWIRE_STATUS_SERVER_H_
