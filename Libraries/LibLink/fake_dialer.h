#ifndef LIBLINK_FAKE_DIALER_H_
#define LIBLINK_FAKE_DIALER_H_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <utility>
#include <vector>

#include "LibCore/lifetime_guard.h"
#include "LibCore/scheduler.h"
#include "LibLink/target_channel.h"

namespace kingcupmill {

// Connects to targets that exist only in memory: each accepts a connection
// after 12 ms, answers each command after `command_time`, and learns of the end
// of a connection 1.4 ms after it was closed.
class FakeDialer final : public TargetDialer {
 public:
  // What a target has received.
  struct Received {
    TargetName target;
    CustomerName customer;
    TargetCommand command;
  };

  explicit FakeDialer(Scheduler& scheduler) : scheduler(scheduler) {}

  std::unique_ptr<TargetChannel> Dial(const TargetEndpoint& endpoint,
                                      ChannelHandlers handlers) override {
    ++this->dial_count;
    this->dialed_at.push_back(this->scheduler.Now());
    this->dialed_for.push_back(endpoint.customer);
    size_t& open = this->open_by_target[endpoint.target];
    this->maximum_open = std::max(this->maximum_open, ++open);
    return std::make_unique<Channel>(*this, endpoint, std::move(handlers));
  }

  // The number of connections that one target sees.
  size_t OpenAt(const TargetName& target) const {
    const auto found = this->open_by_target.find(target);
    return found == this->open_by_target.end() ? 0 : found->second;
  }

  int dial_count = 0;
  std::vector<TimePoint> dialed_at;
  std::vector<CustomerName> dialed_for;
  // The most connections that one target has seen at a time.
  size_t maximum_open = 0;
  std::vector<Received> received;
  Duration command_time = std::chrono::milliseconds(1);
  // Whether targets reject new connections because of their limit.
  bool is_at_connection_limit = false;
  // Forms the answer to a command; without it, the answer is empty.
  std::function<StatementAnswer(const TargetName&, const TargetCommand&)>
      answer_command;

 private:
  class Channel final : public TargetChannel {
   public:
    Channel(FakeDialer& dialer,
            const TargetEndpoint& endpoint,
            ChannelHandlers handlers)
        : dialer(dialer), endpoint(endpoint), handlers(std::move(handlers)) {
      dialer.scheduler.PostAfter(std::chrono::milliseconds(12),
                                 this->life.Wrap([this] { this->Accept(); }));
    }
    ~Channel() override { this->Close(); }

    void Send(std::span<const TargetCommand> commands) override {
      for (const TargetCommand& command : commands) {
        this->dialer.received.push_back(
            {this->endpoint.target, this->endpoint.customer, command});
        this->dialer.scheduler.PostAfter(
            this->dialer.command_time, this->life.Wrap([this, command] {
              if (this->is_closed)
                return;
              this->handlers.did_receive(
                  this->dialer.answer_command
                      ? this->dialer.answer_command(this->endpoint.target,
                                                    command)
                      : StatementAnswer());
            }));
      }
    }

    void Close() override {
      if (this->is_closed)
        return;
      this->End();
      this->dialer.scheduler.PostAfter(
          std::chrono::microseconds(1400),
          this->dialer.life.Wrap(
              [dialer = &this->dialer, target = this->endpoint.target] {
                --dialer->open_by_target.at(target);
              }));
    }

   private:
    void Accept() {
      if (this->is_closed)
        return;
      if (!this->dialer.is_at_connection_limit)
        return this->handlers.did_open(std::nullopt);
      // The target ends it, so it no longer counts there.
      const auto did_fail = this->handlers.did_fail;
      this->End();
      --this->dialer.open_by_target.at(this->endpoint.target);
      did_fail(ConnectionFailure::kConnectionLimit);
    }

    void End() {
      this->is_closed = true;
      this->handlers = {};
    }

    FakeDialer& dialer;
    TargetEndpoint endpoint;
    ChannelHandlers handlers;
    bool is_closed = false;
    LifetimeGuard life;
  };

  Scheduler& scheduler;
  std::map<TargetName, size_t> open_by_target;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBLINK_FAKE_DIALER_H_
