#include "LibWire/event_loop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <thread>
#include <utility>

namespace kingcupmill {

using boost::asio::io_context;
using boost::asio::steady_timer;

struct EventLoop::State {
  State() : guard(boost::asio::make_work_guard(this->context)) {}

  io_context context{1};
  boost::asio::executor_work_guard<io_context::executor_type> guard;
  std::thread thread;
  std::map<TimerId, std::unique_ptr<steady_timer>> timers;
  TimerId next_timer = 1;
};

EventLoop::EventLoop() : state(std::make_unique<State>()) {}

EventLoop::~EventLoop() {
  this->Stop();
}

void EventLoop::Start() {
  this->state->thread = std::thread([this] { this->state->context.run(); });
}

void EventLoop::Run() {
  this->state->context.run();
}

void EventLoop::Finish() {
  this->state->context.stop();
}

void EventLoop::Stop() {
  this->state->context.stop();
  if (this->state->thread.joinable())
    this->state->thread.join();
}

TimePoint EventLoop::Now() const {
  return MonotonicNow();
}

void EventLoop::Post(Task task) {
  boost::asio::post(this->state->context, std::move(task));
}

EventLoop::TimerId EventLoop::PostAfter(Duration delay, Task task) {
  const TimerId id = this->state->next_timer++;
  auto timer = std::make_unique<steady_timer>(this->state->context, delay);
  timer->async_wait([this, id, task = std::move(task)](auto error) {
    if (this->state->timers.erase(id) == 0 || error)
      return;
    task();
  });
  this->state->timers.emplace(id, std::move(timer));
  return id;
}

void EventLoop::Cancel(TimerId timer) {
  this->state->timers.erase(timer);
}

io_context& EventLoop::context() {
  return this->state->context;
}

}  // namespace kingcupmill
