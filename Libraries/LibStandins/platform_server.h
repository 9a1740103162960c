#ifndef LIBSTANDINS_PLATFORM_SERVER_H_
#define LIBSTANDINS_PLATFORM_SERVER_H_

#include <memory>
#include <string>

#include "LibCore/error.h"
#include "LibCore/scheduler.h"
#include "LibStandins/platform_state.h"
#include "LibWire/http_message.h"
#include "LibWire/http_server.h"

namespace kingcupmill {

// Serves a PlatformState over HTTP. Faults are injected through faults() or by
// a PUT to /faults. Requests are handled on the scheduler's thread.
class PlatformServer {
 public:
  // The faults that are injected into the answers.
  struct Faults {
    bool is_down = false;
    Duration delay{0};
    // The number of coming writes that take effect but whose answers are lost.
    int64_t lost_answers = 0;
  };

  static Result<std::unique_ptr<PlatformServer>> Create(
      Scheduler& scheduler,
      const std::string& address);
  ~PlatformServer();
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;

  // Both may be used on the scheduler's thread only.
  PlatformState& state() { return this->platform_state; }
  Faults& faults() { return this->current_faults; }

 private:
  explicit PlatformServer(Scheduler& scheduler);
  void Handle(const HttpRequest& request, const HttpServer::Reply& reply);
  HttpResponse Answer(const HttpRequest& request);
  HttpResponse AnswerTable(const HttpRequest& request, std::string_view key);
  HttpResponse AnswerBlob(const HttpRequest& request, std::string_view digest);
  HttpResponse AnswerVms(const HttpRequest& request);
  HttpResponse AnswerFaults(const HttpRequest& request);

  Scheduler& scheduler;
  PlatformState platform_state;
  Faults current_faults;
  std::unique_ptr<HttpServer> http;
};

}  // namespace kingcupmill

#endif  // LIBSTANDINS_PLATFORM_SERVER_H_
