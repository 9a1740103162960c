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

  SUBCASE("are kept while they are used") {
    scheduler.RunFor(seconds(2));
    std::vector<std::shared_ptr<TargetLink>> taken;
    while (pool.has_free())
      taken.push_back(pool.Take(SessionRecord()));
    for (const auto& link : taken)
      use(link);
    scheduler.RunFor(milliseconds(400));
    pool.CloseIdle();
    CHECK(pool.open_count() == 3);
  }

  SUBCASE("are closed after a burst, down to one") {
    scheduler.RunFor(seconds(3));
    for (int turn = 0; turn < 5; ++turn)
      pool.CloseIdle();
    CHECK(pool.open_count() == 1);

    SUBCASE("and opened again at need") {
      CHECK(pool.Open());
      CHECK(own.dialed == 4);
    }
  }

  SUBCASE("are not closed while one is taken by a transaction") {
    const auto link = pool.Take(SessionRecord());
    scheduler.RunFor(seconds(3));
    for (int turn = 0; turn < 5; ++turn)
      pool.CloseIdle();
    CHECK(link->is_open());
    CHECK(pool.open_count() == 1);
    pool.GiveBack(link);
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
