#ifndef LIBWIRE_HTTP_CLIENT_H_
#define LIBWIRE_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "LibCore/error.h"
#include "LibCore/time.h"
#include "LibWire/http_message.h"

namespace kingcupmill {

// Sends HTTP requests to one server with cpprestsdk's client.
class HttpClient {
 public:
  using DidReceive = std::function<void(ValueOrError<HttpResponse>)>;

  // `address` is "IP:port". A request that gets no response within `timeout`
  // fails with kTimeout, one whose connection fails with kUnavailable.
  HttpClient(const std::string& address, Duration timeout);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends a request; `did_receive` is called on a thread of cpprestsdk's pool.
  // Does not throw: a request or an address that is malformed fails with
  // kInvalidInput. Texts in the path and the query must be percent-encoded.
  void Send(const HttpRequest& request, DidReceive did_receive);

  // The number of connections opened so far. A request during which it does not
  // grow used a connection that was opened earlier.
  uint64_t connections_opened() const;

  // Sends a request and blocks the calling thread until it is answered or
  // fails.
  Result<HttpResponse> SendAndWait(const HttpRequest& request);

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace kingcupmill

#endif  // LIBWIRE_HTTP_CLIENT_H_
