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

// Connections of other proxies to one target that this one uses at a time.
constexpr size_t kMaximumBorrowed = 4;
// After a peer refused or was not reached, before another one is asked.
constexpr Duration kBorrowPause = std::chrono::milliseconds(10);

}  // namespace

LinkPool::LinkPool(Scheduler& scheduler,
                   TargetDialers dialers,
                   TargetEndpoint endpoint,
                   Events events)
    : scheduler(scheduler),
      dialers(dialers),
      target_endpoint(std::move(endpoint)),
      events(std::move(events)) {}

LinkPool::~LinkPool() {
  this->CloseAll();
}

void LinkPool::CloseAll() {
  this->is_retired = true;
  this->free.clear();
  this->borrowed.clear();
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

std::shared_ptr<TargetLink> LinkPool::TakeOwn(const SessionRecord& record) {
  const bool has_own = std::any_of(
      this->free.begin(), this->free.end(),
      [this](const auto& link) { return !this->is_borrowed(*link); });
  // Free borrowed links go back at once, so all or none are own.
  return has_own ? this->Take(record) : nullptr;
}

void LinkPool::GiveBack(const std::shared_ptr<TargetLink>& link) {
  KINGCUPMILL_VERIFY(this->taken > 0);
  --this->taken;
  if (link->is_closed() || this->is_retired) {
    link->Close();
    this->Forget(link.get());
    return;
  }
  if (this->is_borrowed(*link)) {
    // Its owner needs it.
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
  const size_t own = this->links.size() - this->borrowed.size();
  if (this->is_retired || own >= this->limit || this->is_backing_off())
    return false;
  this->links.push_back(this->MakeLink(this->dialers.own));
  return true;
}

bool LinkPool::Borrow() {
  if (this->is_retired || this->borrowed.size() >= kMaximumBorrowed ||
      this->scheduler.Now() < this->borrow_after)
    return false;
  auto link = this->MakeLink(this->dialers.borrowed);
  this->borrowed.insert(link.get());
  this->links.push_back(std::move(link));
  return true;
}

std::shared_ptr<TargetLink> LinkPool::MakeLink(TargetDialer& dialer) {
  auto holder = std::make_shared<std::weak_ptr<TargetLink>>();
  const TimePoint started_at = this->scheduler.Now();
  auto link = std::make_shared<TargetLink>(
      this->scheduler, dialer, this->target_endpoint,
      this->life.Wrap([this, holder, started_at](std::optional<LogPoint> at) {
        this->DidOpen(*holder, at, started_at);
      }),
      this->life.Wrap([this, holder](LinkFailure failure) {
        this->DidFail(*holder, failure);
      }));
  *holder = link;
  return link;
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

bool LinkPool::is_connected() const {
  return std::any_of(this->links.begin(), this->links.end(),
                     [this](const auto& link) {
                       return link->is_open() && !this->is_borrowed(*link);
                     });
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
  if (!this->is_borrowed(*link)) {
    this->back_off = Duration(0);
    this->closed_until = TimePoint{};
    this->events.did_open(point, started_at);
  }
  if (this->is_retired) {
    link->Close();
    return this->Forget(link.get());
  }
  this->free.push_back(link);
  this->events.did_free();
  if (this->is_borrowed(*link))
    this->ReturnUnused(link);
}

void LinkPool::ReturnUnused(const std::shared_ptr<TargetLink>& link) {
  const auto unused = std::find(this->free.begin(), this->free.end(), link);
  if (unused == this->free.end())
    return;
  this->free.erase(unused);
  link->Close();
  this->Forget(link.get());
}

void LinkPool::DidFail(const std::weak_ptr<TargetLink>& weak,
                       LinkFailure failure) {
  const auto link = weak.lock();
  if (!link)
    return;
  const auto found = std::find(this->free.begin(), this->free.end(), link);
  if (found != this->free.end())
    this->free.erase(found);
  const bool was_borrowed = this->is_borrowed(*link);
  this->Forget(link.get());
  if (was_borrowed) {
    this->borrow_after = this->scheduler.Now() + kBorrowPause;
    return this->events.did_fail(failure);
  }
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
  this->borrowed.erase(link);
  std::erase_if(this->links,
                [link](const auto& known) { return known.get() == link; });
}

}  // namespace kingcupmill
