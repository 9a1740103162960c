#ifndef LIBWIRE_PROCESS_SIGNALS_H_
#define LIBWIRE_PROCESS_SIGNALS_H_

#include <functional>
#include <memory>

namespace kingcupmill {

class EventLoop;

// Calls handlers on the event loop for the signals that operators send.
class ProcessSignals {
 public:
  // `did_request_stop` is called on SIGTERM and SIGINT, `did_request_reload` on
  // SIGHUP. SIGPIPE is ignored from now on: writes to a closed connection fail
  // with an error instead.
  ProcessSignals(EventLoop& loop,
                 std::function<void()> did_request_stop,
                 std::function<void()> did_request_reload);
  ~ProcessSignals();
  ProcessSignals(const ProcessSignals&) = delete;
  ProcessSignals& operator=(const ProcessSignals&) = delete;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace kingcupmill

#endif  // LIBWIRE_PROCESS_SIGNALS_H_
