#ifndef LIBWIRE_EVENT_LOOP_H_
#define LIBWIRE_EVENT_LOOP_H_

#include <memory>

#include "LibCore/scheduler.h"

namespace boost {
namespace asio {
class io_context;
}
}  // namespace boost

namespace kingcupmill {

// Runs tasks, timers and socket handlers one after another on one thread.
class EventLoop final : public Scheduler {
 public:
  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Starts the loop's thread.
  void Start();

  // Runs the loop on the calling thread until Finish() is called.
  void Run();

  // Makes Run() return after the current task. Called from a task.
  void Finish();

  // Stops the loop and joins its thread. Pending tasks are dropped.
  void Stop();

  TimePoint Now() const override;
  void Post(Task task) override;
  TimerId PostAfter(Duration delay, Task task) override;
  void Cancel(TimerId timer) override;

  // The underlying Asio context, for the sockets of this library.
  boost::asio::io_context& context();

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace kingcupmill

#endif  // LIBWIRE_EVENT_LOOP_H_
