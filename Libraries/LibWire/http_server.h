#ifndef LIBWIRE_HTTP_SERVER_H_
#define LIBWIRE_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "LibCore/error.h"
#include "LibCore/time.h"
#include "LibWire/Forward.h"

namespace kingcupmill {

// Serves HTTP on one address with cpprestsdk's listener.
class HttpServer {
 public:
  // Sends the response; must be called once for each request, from any thread.
  using Reply = std::function<void(HttpResponse)>;
  // Called on a thread of the listener; must not block.
  using Handler = std::function<void(HttpRequest, Reply)>;

  struct Options {
    // "IP:port".
    std::string address;
    size_t maximum_body_bytes = 1U << 20U;
    // The time within which a request's body must arrive.
    Duration body_timeout = std::chrono::seconds(10);
  };

  // Starts to listen. Fails with kUnavailable when the address is taken.
  static Result<std::unique_ptr<HttpServer>> Create(Options options,
                                                    Handler handler);
  // Stops listening and waits for open requests.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Sets the number of threads that all HTTP servers and clients of this
  // process share. Call it once, before any other use.
  static void InitializeThreads(size_t threads);

 private:
  struct State;
  explicit HttpServer(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

}  // namespace kingcupmill

#endif  // LIBWIRE_HTTP_SERVER_H_
