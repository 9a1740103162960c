#include "LibLink/link_pool.h"

#include <doctest/doctest.h>

#include <vector>

#include "LibCore/virtual_scheduler.h"

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Opens each connection after a while and answers every command at once.
class PromptDialer final : public TargetDialer {
 public:
  explicit PromptDialer(Scheduler& scheduler) : scheduler(scheduler) {}

  std::unique_ptr<TargetChannel> Dial(const TargetEndpoint&,
                                      LinkHandlers handlers) override {
    ++this->dialed;
    return std::make_unique<Channel>(this->scheduler, std::move(handlers));
  }

  int dialed = 0;

 private:
  class Channel final : public TargetChannel {
   public:
    Channel(Scheduler& scheduler, LinkHandlers handlers)
        : scheduler(scheduler), handlers(std::move(handlers)) {
      this->scheduler.PostAfter(milliseconds(12), this->life.Wrap([this] {
        this->handlers.did_open(std::nullopt);
      }));
    }
    void Send(std::span<const TargetCommand> commands) override {
      for (size_t count = 0; count < commands.size(); ++count)
        this->scheduler.PostAfter(milliseconds(1), this->life.Wrap([this] {
          this->handlers.did_receive(StatementAnswer());
        }));
    }
    void Close() override { this->handlers = {}; }

   private:
    Scheduler& scheduler;
    LinkHandlers handlers;
    LifeGuard life;
  };

  Scheduler& scheduler;
};

}  // namespace

TEST_CASE("the connections of a proxy to one target") {
  VirtualScheduler scheduler;
  scheduler.RunFor(seconds(100));
  PromptDialer own(scheduler);
  PromptDialer borrowed(scheduler);
  LinkPool::Events events;
  events.did_free = [] {};
  events.did_open = [](std::optional<LogPoint>, TimePoint) {};
  events.did_fail = [](LinkFailure) {};
  LinkPool pool(scheduler, TargetDialers{own, borrowed}, TargetEndpoint{},
                events);
  pool.SetLimit(3);
  REQUIRE(pool.Open());
  REQUIRE(pool.Open());
  REQUIRE(pool.Open());
  CHECK_FALSE(pool.Open());
  scheduler.RunFor(milliseconds(20));
  REQUIRE(pool.open_count() == 3);

  const auto use = [&](const std::shared_ptr<TargetLink>& link) {
    link->Reset(seconds(1), [](const auto&) {});
    scheduler.RunFor(milliseconds(2));
    pool.GiveBack(link);
  };

  SUBCASE("stay within this proxy's share") {
    CHECK_FALSE(pool.Open());
    CHECK(own.dialed == 3);
  }

  SUBCASE("carry one transaction at a time") {
    const auto first = pool.Take(SessionRecord());
    const auto second = pool.Take(SessionRecord());
    CHECK(first != second);
    CHECK(pool.taken_count() == 2);
    pool.GiveBack(first);
    pool.GiveBack(second);
    CHECK(pool.taken_count() == 0);
  }

  SUBCASE("are replaced when one is closed") {
    const auto link = pool.Take(SessionRecord());
    link->Close();
    pool.GiveBack(link);
    CHECK(pool.open_count() == 2);
    CHECK(pool.Open());
  }

  SUBCASE("the one that answered last is used first") {
    scheduler.RunFor(seconds(1));
    const auto link = pool.Take(SessionRecord());
    use(link);
    CHECK(pool.Take(SessionRecord()) == link);
    pool.GiveBack(link);
  }
}

}  // namespace kingcupmill
