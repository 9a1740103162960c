#include "LibLink/link_pool.h"

#include <algorithm>
#include <utility>

#include "LibCore/verify.h"

namespace kingcupmill {

namespace {

// A target that refused a connection is left alone for this long, doubled at
// each further failure; the longest wait still finds a restarted target within
// a second.
constexpr Duration kFirstBackOff = std::chrono::milliseconds(60);
constexpr Duration kLongestBackOff = std::chrono::milliseconds(800);
// Connections of lost proxies stay at a target for up to 3 s.
constexpr Duration kConnectionLimitBackOff = std::chrono::milliseconds(400);
// A link that was quiet for longer is tried before it carries a statement; one
// round trip costs less than a statement that hangs.
constexpr Duration kTrustedFor = std::chrono::milliseconds(1000);

}  // namespace

LinkPool::LinkPool(Scheduler& scheduler,
                   TargetDialer& dialer,
                   TargetEndpoint endpoint,
                   Events events)
    : scheduler(scheduler),
      dialer(dialer),
      target_endpoint(std::move(endpoint)),
      events(std::move(events)) {}

LinkPool::~LinkPool() {
  this->CloseAll();
}

void LinkPool::CloseAll() {
  this->is_retired = true;
  this->free.clear();
  for (const auto& link : std::exchange(this->links, {}))
    link->Close();
}

std::shared_ptr<TargetLink> LinkPool::Take(const SessionRecord& record) {
  const auto best = std::min_element(
      this->free.begin(), this->free.end(),
      [&](const auto& left, const auto& right) {
        const size_t left_distance = left->DistanceTo(record);
        const size_t right_distance = right->DistanceTo(record);
        if (left_distance != right_distance)
          return left_distance < right_distance;
        return left->last_answer_at() > right->last_answer_at();
      });
  if (best == this->free.end())
    return nullptr;
  std::shared_ptr<TargetLink> link = *best;
  this->free.erase(best);
  ++this->taken;
  return link;
}

void LinkPool::GiveBack(const std::shared_ptr<TargetLink>& link) {
  KINGCUPMILL_VERIFY(this->taken > 0);
  --this->taken;
  if (link->is_closed() || this->is_retired) {
    link->Close();
    this->Forget(link.get());
    return;
  }
  // What another session left open must never carry the next one.
  KINGCUPMILL_VERIFY(!link->is_in_transaction());
  this->free.push_back(link);
  this->events.did_free();
}

bool LinkPool::Open() {
  if (this->is_retired || this->links.size() >= this->limit ||
      this->is_backing_off())
    return false;
  auto holder = std::make_shared<std::weak_ptr<TargetLink>>();
  const TimePoint started_at = this->scheduler.Now();
  auto link = std::make_shared<TargetLink>(
      this->scheduler, this->dialer, this->target_endpoint,
      this->life.Wrap([this, holder, started_at](std::optional<LogPoint> at) {
        this->DidOpen(*holder, at, started_at);
      }),
      this->life.Wrap([this, holder](LinkFailure failure) {
        this->DidFail(*holder, failure);
      }));
  *holder = link;
  this->links.push_back(std::move(link));
  return true;
}

std::shared_ptr<TargetLink> LinkPool::AnyOpen() const {
  for (const auto& link : this->free) {
    if (link->is_idle())
      return link;
  }
  for (const auto& link : this->links) {
    if (link->is_open())
      return link;
  }
  return nullptr;
}

bool LinkPool::needs_probe(const TargetLink& link) const {
  return link.last_answer_at() < this->suspected_at ||
         this->scheduler.Now() - link.last_answer_at() > kTrustedFor;
}

void LinkPool::Retire() {
  this->is_retired = true;
  for (const auto& link : std::exchange(this->free, {})) {
    link->Close();
    this->Forget(link.get());
  }
}

size_t LinkPool::open_count() const {
  return static_cast<size_t>(
      std::count_if(this->links.begin(), this->links.end(),
                    [](const auto& link) { return link->is_open(); }));
}

size_t LinkPool::opening_count() const {
  return this->links.size() - this->open_count();
}

bool LinkPool::is_backing_off() const {
  return this->scheduler.Now() < this->closed_until;
}

void LinkPool::DidOpen(const std::weak_ptr<TargetLink>& weak,
                       std::optional<LogPoint> point,
                       TimePoint started_at) {
  const auto link = weak.lock();
  if (!link)
    return;
  this->back_off = Duration(0);
  this->closed_until = TimePoint{};
  this->events.did_open(point, started_at);
  if (this->is_retired) {
    link->Close();
    return this->Forget(link.get());
  }
  this->free.push_back(link);
  this->events.did_free();
}

void LinkPool::DidFail(const std::weak_ptr<TargetLink>& weak,
                       LinkFailure failure) {
  const auto link = weak.lock();
  if (!link)
    return;
  const auto found = std::find(this->free.begin(), this->free.end(), link);
  if (found != this->free.end())
    this->free.erase(found);
  this->Forget(link.get());
  // One that worked may only have been cut off by itself; its siblings and the
  // next connection will show.
  this->suspected_at = this->scheduler.Now();
  if (failure == LinkFailure::kConnectionLimit) {
    this->closed_until = this->scheduler.Now() + kConnectionLimitBackOff;
  } else {
    this->back_off =
        std::clamp(this->back_off * 2, kFirstBackOff, kLongestBackOff);
    this->closed_until = this->scheduler.Now() + this->back_off;
  }
  this->events.did_fail(failure);
}

void LinkPool::Forget(const TargetLink* link) {
  std::erase_if(this->links,
                [link](const auto& known) { return known.get() == link; });
}

}  // namespace kingcupmill
