#include "LibWire/process_signals.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <utility>

#include "LibWire/event_loop.h"

namespace kingcupmill {

struct ProcessSignals::State {
  explicit State(EventLoop& loop)
      : signals(loop.context(), SIGTERM, SIGINT, SIGHUP) {}

  void Wait() {
    this->signals.async_wait([this](const auto& error, int signal) {
      if (error)
        return;
      if (signal == SIGHUP)
        this->did_request_reload();
      else
        this->did_request_stop();
      this->Wait();
    });
  }

  boost::asio::signal_set signals;
  std::function<void()> did_request_stop;
  std::function<void()> did_request_reload;
};

ProcessSignals::ProcessSignals(EventLoop& loop,
                               std::function<void()> did_request_stop,
                               std::function<void()> did_request_reload)
    : state(std::make_unique<State>(loop)) {
  std::signal(SIGPIPE, SIG_IGN);
  this->state->did_request_stop = std::move(did_request_stop);
  this->state->did_request_reload = std::move(did_request_reload);
  this->state->Wait();
}

ProcessSignals::~ProcessSignals() = default;

}  // namespace kingcupmill
