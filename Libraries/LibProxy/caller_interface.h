#ifndef LIBPROXY_CALLER_INTERFACE_H_
#define LIBPROXY_CALLER_INTERFACE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "LibCore/error.h"
#include "LibCore/random_source.h"
#include "LibRequests/client_request.h"
#include "LibRequests/reply.h"
#include "LibSession/session_token.h"
#include "LibSession/token_codec.h"
#include "LibWire/http_message.h"

namespace kingcupmill {

// The HTTP API for callers, specified in docs/CALLERS.md. Parses HTTP requests
// into ClientRequests and renders ClientAnswers as HTTP responses.
class CallerInterface {
 public:
  using Execute = std::function<void(ClientRequest, Reply)>;
  using SendResponse = std::function<void(HttpResponse)>;

  CallerInterface(TokenCodec codec, uint64_t seed, Execute execute);

  // Returns whether requests for `path` must be passed to Handle().
  static bool is_responsible(std::string_view path);

  // Handles one request. `send_response` is called exactly once.
  void Handle(const HttpRequest& request, SendResponse send_response);

 private:
  // A request and the decoded token of the caller's session.
  struct ParsedRequest {
    ClientRequest request;
    SessionToken token;
  };

  Result<ParsedRequest> Parse(const HttpRequest& http);
  Result<void> ParseRoute(const HttpRequest& http, ClientRequest& request);
  Result<void> ParseBody(const HttpRequest& http, ClientRequest& request);
  RequestId MakeRequestId(const ClientRequest& request, std::string_view key);
  HttpResponse Render(const ClientAnswer& answer,
                      SessionToken token,
                      const GroupName& group) const;

  TokenCodec codec;
  SeededRandom random;
  Execute execute;
};

}  // namespace kingcupmill

#endif  // LIBPROXY_CALLER_INTERFACE_H_
