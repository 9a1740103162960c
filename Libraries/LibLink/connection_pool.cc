#include "LibLink/connection_pool.h"

#include <algorithm>
#include <utility>

#include "LibCore/verify.h"

namespace kingcupmill {

namespace {

// No connection is opened for this long after a failure, doubled after each
// further one; the maximum still lets a restarted target be found within a
// second.
constexpr Duration kInitialBackOff = std::chrono::milliseconds(60);
constexpr Duration kMaximumBackOff = std::chrono::milliseconds(800);
// Targets keep the connections of failed proxies for up to 3 s.
constexpr Duration kConnectionLimitBackOff = std::chrono::milliseconds(400);
// A connection without an answer for longer is probed before it carries a
// statement: a round trip costs less than a statement that gets no answer.
constexpr Duration kIdleProbeThreshold = std::chrono::milliseconds(1000);

// The maximum number of connections to one target that are borrowed at a time.
constexpr size_t kMaximumBorrowed = 4;
// The delay before another peer is asked after one refused or was not reached.
constexpr Duration kBorrowRetryDelay = std::chrono::milliseconds(10);
// A borrower asks another proxy after this time.
constexpr Duration kLoanWaitLimit = std::chrono::milliseconds(200);
// While customers wait, idle connections are offered to them at this interval:
// the open rate or the age of a connection may have forbidden it before.
constexpr Duration kClaimInterval = std::chrono::milliseconds(10);
// The cost of closing a connection that is needed again at once, and the time
// until its next use at which the cost is half of that.
constexpr Duration kHandshakeCost = std::chrono::milliseconds(15);
constexpr Duration kHalfCostReturn = std::chrono::seconds(1);

// How long a closed connection still counts against the limit before the one
// that replaces it is opened: the target learns of the end after the one-way
// latency, 1.4 ms between zones.
constexpr Duration kCloseDelay = std::chrono::milliseconds(2);

}  // namespace

ConnectionPool::ConnectionPool(Scheduler& scheduler,
                               TargetDialers dialers,
                               TargetEndpoint endpoint,
                               Events events)
    : scheduler(scheduler),
      dialers(dialers),
      target_endpoint(std::move(endpoint)),
      events(std::move(events)) {}

ConnectionPool::~ConnectionPool() {
  this->CloseAll();
}

void ConnectionPool::CloseAll() {
  this->is_retired = true;
  this->free.clear();
  this->borrowed.clear();
  this->awaiting_close.clear();
  for (const auto& connection : std::exchange(this->connections, {}))
    connection->Close();
}

std::shared_ptr<PooledConnection> ConnectionPool::Acquire(
    const CustomerName& customer,
    const SessionContext& session_context) {
  const auto best = std::min_element(
      this->free.begin(), this->free.end(),
      [&](const auto& left, const auto& right) {
        const bool is_left_usable = left->customer() == customer;
        const bool is_right_usable = right->customer() == customer;
        if (is_left_usable != is_right_usable)
          return is_left_usable;
        const size_t left_count = left->SetupCommandCount(session_context);
        const size_t right_count = right->SetupCommandCount(session_context);
        if (left_count != right_count)
          return left_count < right_count;
        return left->last_answer_at() > right->last_answer_at();
      });
  if (best == this->free.end() || (*best)->customer() != customer)
    return nullptr;
  std::shared_ptr<PooledConnection> connection = *best;
  this->free.erase(best);
  ++this->in_use;
  const TimePoint now = this->scheduler.Now();
  this->acquired_at[connection.get()] = now;
  this->allocator.DidAcquire(customer, now);
  const auto claim = this->claims.find(customer);
  if (claim != this->claims.end() && --claim->second.waiting == 0)
    this->claims.erase(claim);
  return connection;
}

std::shared_ptr<PooledConnection> ConnectionPool::AcquireOwn(
    const CustomerName& customer,
    const SessionContext& session_context) {
  const bool has_own = std::any_of(
      this->free.begin(), this->free.end(), [&](const auto& connection) {
        return connection->customer() == customer &&
               !this->is_borrowed(*connection);
      });
  // Borrowed connections are never kept in `free`, so either all or none of
  // these are this proxy's own.
  return has_own ? this->Acquire(customer, session_context) : nullptr;
}

void ConnectionPool::Release(
    const std::shared_ptr<PooledConnection>& connection) {
  KINGCUPMILL_VERIFY(this->in_use > 0);
  --this->in_use;
  const auto acquired = this->acquired_at.extract(connection.get());
  KINGCUPMILL_VERIFY(!acquired.empty());
  this->allocator.DidRelease(connection->customer(),
                             this->scheduler.Now() - acquired.mapped());
  if (connection->is_closed() || this->is_retired) {
    connection->Close();
    this->Remove(connection.get());
    return;
  }
  if (this->is_borrowed(*connection)) {
    // The proxy that lent it needs it.
    connection->Close();
    this->Remove(connection.get());
    return;
  }
  // A transaction that is still open must never reach the next session.
  KINGCUPMILL_VERIFY(!connection->is_in_transaction());
  this->free.push_back(connection);
  this->ServeClaims();
  this->events.did_become_free();
}

bool ConnectionPool::Open(const CustomerName& customer) {
  if (this->is_retired || this->CountOwn() >= this->limit ||
      this->is_backing_off())
    return false;
  this->allocator.DidStartOpening(this->scheduler.Now());
  this->AddOpening(customer);
  return true;
}

void ConnectionPool::OpenForControl() {
  if (!this->has_customers() || this->opening_count() == 0)
    this->Open({});
}

void ConnectionPool::AddOpening(const CustomerName& customer) {
  this->connections.push_back(
      this->CreateConnection(this->dialers.own, customer));
}

size_t ConnectionPool::CountOwn() const {
  return this->connections.size() - this->borrowed.size() +
         this->awaiting_close.size();
}

bool ConnectionPool::Provide(const Demand& demand) {
  if (this->opening_count(demand.customer) >= demand.waiting)
    return true;
  if (this->is_retired || this->is_backing_off())
    return false;
  if (this->CountOwn() >= this->limit && this->free.empty())
    return false;
  const TimePoint now = this->scheduler.Now();
  std::vector<std::shared_ptr<PooledConnection>> idle;
  const ConnectionAllocator::Situation situation = this->CurrentSituation(idle);
  const auto claim = this->claims.find(demand.customer);
  const ConnectionAllocator::Decision decision = this->allocator.Decide(
      situation,
      {demand.customer, claim == this->claims.end() ? now : claim->second.since,
       demand.wait_until, this->ExpectedWait(demand.customer, demand.waiting)},
      now);
  switch (decision.action) {
    case ConnectionAllocator::Action::kOpen:
      this->allocator.DidStartOpening(now);
      this->AddOpening(demand.customer);
      return true;
    case ConnectionAllocator::Action::kReassign:
      return this->Reassign(idle.at(decision.victim), demand.customer);
    case ConnectionAllocator::Action::kWait:
      break;
  }
  return false;
}

Duration ConnectionPool::ProvisionCost(const CustomerName& customer) const {
  if (this->CountOwn() < this->limit)
    return Duration(0);
  const TimePoint now = this->scheduler.Now();
  std::optional<Duration> longest;
  for (const auto& connection : this->free) {
    if (connection->customer() == customer || !connection->is_idle())
      continue;
    longest =
        std::max(longest.value_or(Duration(0)),
                 this->allocator.ExpectedReturn(connection->customer(), now));
  }
  // Without an idle connection one must become free first.
  if (!longest)
    return 2 * kHandshakeCost;
  return duration_cast<Duration>(
      kHandshakeCost *
      (std::chrono::duration<double>(kHalfCostReturn) /
       std::chrono::duration<double>(kHalfCostReturn + *longest)));
}

ConnectionAllocator::Situation ConnectionPool::CurrentSituation(
    std::vector<std::shared_ptr<PooledConnection>>& idle) const {
  ConnectionAllocator::Situation situation;
  situation.count = this->CountOwn();
  situation.limit = this->limit;
  for (const auto& connection : this->connections) {
    if (this->is_borrowed(*connection))
      continue;
    auto& state = situation.customers[connection->customer()];
    if (this->acquired_at.contains(connection.get()))
      ++state.in_use;
    else if (connection->is_open())
      ++state.idle;
    else
      ++state.opening;
  }
  for (const CustomerName& customer : this->awaiting_close)
    ++situation.customers[customer].opening;
  const TimePoint now = this->scheduler.Now();
  for (const auto& [customer, claim] : this->claims) {
    if (claim.until > now)
      situation.customers[customer].waiting = claim.waiting;
  }
  for (const auto& connection : this->free) {
    // One of the proxy's own commands may be running on it.
    if (!connection->is_idle() || this->is_borrowed(*connection))
      continue;
    idle.push_back(connection);
    situation.idle.push_back({connection->customer(), connection->opened_at()});
  }
  return situation;
}

std::optional<Duration> ConnectionPool::ExpectedWait(
    const CustomerName& customer,
    size_t waiting) const {
  const Duration hold = this->allocator.ExpectedHold(customer);
  const TimePoint now = this->scheduler.Now();
  std::optional<Duration> soonest;
  size_t count = 0;
  for (const auto& [connection, since] : this->acquired_at) {
    // A transaction ends when its caller wants it to.
    if (connection->customer() != customer || connection->is_in_transaction())
      continue;
    ++count;
    // A statement that takes longer than usual is expected to take as long
    // again.
    const Duration held = now - since;
    const Duration left = held < hold ? hold - held : held;
    soonest = std::min(soonest.value_or(left), left);
  }
  if (!soonest)
    return std::nullopt;
  const size_t rounds_before = (std::max<size_t>(waiting, 1) - 1) / count;
  return *soonest + rounds_before * hold;
}

bool ConnectionPool::Reassign(const std::shared_ptr<PooledConnection>& victim,
                              const CustomerName& customer) {
  const TimePoint now = this->scheduler.Now();
  this->events.did_reassign(
      {victim->customer(), customer,
       this->allocator.ExpectedReturn(victim->customer(), now)});
  this->CloseIfFree(victim);
  this->allocator.DidStartOpening(now);
  this->awaiting_close.push_back(customer);
  this->scheduler.PostAfter(kCloseDelay, this->life.Wrap([this, customer] {
    this->DidCloseForReassignment(customer);
  }));
  return true;
}

void ConnectionPool::DidCloseForReassignment(const CustomerName& customer) {
  const auto awaiting = std::find(this->awaiting_close.begin(),
                                  this->awaiting_close.end(), customer);
  if (awaiting == this->awaiting_close.end())
    return;
  this->awaiting_close.erase(awaiting);
  // The limit may have been lowered, or a connection rejected, meanwhile.
  if (!this->is_retired && this->CountOwn() < this->limit &&
      !this->is_backing_off())
    this->AddOpening(customer);
}

bool ConnectionPool::ProvideForLoan(const CustomerName& customer) {
  if (customer.value.empty() && !this->has_customers())
    return this->Open(customer);
  return this->Provide(
      Demand{customer, 1, this->scheduler.Now() + kLoanWaitLimit});
}

void ConnectionPool::AddClaim(const Demand& demand) {
  const auto added =
      this->claims
          .try_emplace(demand.customer, Claim{this->scheduler.Now(), {}, 0})
          .first;
  added->second.until = std::max(added->second.until, demand.wait_until);
  added->second.waiting = demand.waiting;
  this->StartClaimTimer();
}

void ConnectionPool::StartClaimTimer() {
  if (std::exchange(this->is_claim_timer_running, true))
    return;
  this->scheduler.PostAfter(kClaimInterval, this->life.Wrap([this] {
    this->is_claim_timer_running = false;
    const TimePoint now = this->scheduler.Now();
    std::erase_if(this->claims,
                  [&](const auto& claim) { return claim.second.until <= now; });
    if (this->claims.empty() || this->is_retired)
      return;
    this->ServeClaims();
    this->StartClaimTimer();
  }));
}

void ConnectionPool::ServeClaims() {
  if (this->claims.empty())
    return;
  std::vector<std::pair<TimePoint, Demand>> by_age;
  for (const auto& [customer, claim] : this->claims)
    by_age.emplace_back(claim.since,
                        Demand{customer, claim.waiting, claim.until});
  std::sort(by_age.begin(), by_age.end(),
            [](const auto& left, const auto& right) {
              return left.first < right.first;
            });
  const TimePoint now = this->scheduler.Now();
  for (const auto& [since, demand] : by_age) {
    if (demand.wait_until > now && !this->has_free(demand.customer))
      this->Provide(demand);
  }
}

bool ConnectionPool::Borrow(const CustomerName& customer) {
  if (this->is_retired || this->borrowed.size() >= kMaximumBorrowed ||
      this->scheduler.Now() < this->next_borrow_at)
    return false;
  auto connection = this->CreateConnection(this->dialers.borrowed, customer);
  this->borrowed.insert(connection.get());
  this->connections.push_back(std::move(connection));
  return true;
}

std::shared_ptr<PooledConnection> ConnectionPool::CreateConnection(
    TargetDialer& dialer,
    const CustomerName& customer) {
  TargetEndpoint endpoint = this->target_endpoint;
  endpoint.customer = customer;
  auto created = std::make_shared<std::weak_ptr<PooledConnection>>();
  const TimePoint started_at = this->scheduler.Now();
  auto connection = std::make_shared<PooledConnection>(
      this->scheduler, dialer, endpoint,
      this->life.Wrap([this, created, started_at](std::optional<LogPoint> at) {
        this->DidOpen(*created, at, started_at);
      }),
      this->life.Wrap([this, created](ConnectionFailure failure) {
        this->DidFail(*created, failure);
      }));
  *created = connection;
  return connection;
}

std::shared_ptr<PooledConnection> ConnectionPool::FindOpen() const {
  for (const auto& connection : this->free) {
    if (connection->is_idle())
      return connection;
  }
  for (const auto& connection : this->connections) {
    if (connection->is_open())
      return connection;
  }
  return nullptr;
}

bool ConnectionPool::needs_probe(const PooledConnection& connection) const {
  return connection.last_answer_at() < this->suspect_before ||
         this->scheduler.Now() - connection.last_answer_at() >
             kIdleProbeThreshold;
}

void ConnectionPool::Retire() {
  this->is_retired = true;
  for (const auto& connection : std::exchange(this->free, {})) {
    connection->Close();
    this->Remove(connection.get());
  }
}

bool ConnectionPool::has_free(const CustomerName& customer) const {
  return std::any_of(this->free.begin(), this->free.end(),
                     [&](const auto& connection) {
                       return connection->customer() == customer;
                     });
}

bool ConnectionPool::has_customers() const {
  return std::any_of(this->connections.begin(), this->connections.end(),
                     [](const auto& connection) {
                       return !connection->customer().value.empty();
                     });
}

size_t ConnectionPool::open_count() const {
  return static_cast<size_t>(std::count_if(
      this->connections.begin(), this->connections.end(),
      [](const auto& connection) { return connection->is_open(); }));
}

bool ConnectionPool::is_connected() const {
  return std::any_of(this->connections.begin(), this->connections.end(),
                     [this](const auto& connection) {
                       return connection->is_open() &&
                              !this->is_borrowed(*connection);
                     });
}

size_t ConnectionPool::opening_count() const {
  return this->connections.size() - this->open_count() +
         this->awaiting_close.size();
}

size_t ConnectionPool::opening_count(const CustomerName& customer) const {
  const auto opening = std::count_if(
      this->connections.begin(), this->connections.end(),
      [&](const auto& connection) {
        return connection->customer() == customer && !connection->is_open();
      });
  const auto awaiting = std::count(this->awaiting_close.begin(),
                                   this->awaiting_close.end(), customer);
  return static_cast<size_t>(opening + awaiting);
}

bool ConnectionPool::is_backing_off() const {
  return this->scheduler.Now() < this->backing_off_until;
}

void ConnectionPool::DidOpen(const std::weak_ptr<PooledConnection>& weak,
                             std::optional<LogPoint> point,
                             TimePoint started_at) {
  const auto connection = weak.lock();
  if (!connection)
    return;
  if (!this->is_borrowed(*connection)) {
    this->back_off_delay = Duration(0);
    this->backing_off_until = TimePoint{};
    this->events.did_open(point, started_at);
  }
  if (this->is_retired) {
    connection->Close();
    return this->Remove(connection.get());
  }
  this->free.push_back(connection);
  this->events.did_become_free();
  if (this->is_borrowed(*connection))
    this->CloseIfFree(connection);
}

void ConnectionPool::CloseIfFree(
    const std::shared_ptr<PooledConnection>& connection) {
  const auto unused =
      std::find(this->free.begin(), this->free.end(), connection);
  if (unused == this->free.end())
    return;
  this->free.erase(unused);
  connection->Close();
  this->Remove(connection.get());
}

void ConnectionPool::DidFail(const std::weak_ptr<PooledConnection>& weak,
                             ConnectionFailure failure) {
  const auto connection = weak.lock();
  if (!connection)
    return;
  const auto found =
      std::find(this->free.begin(), this->free.end(), connection);
  if (found != this->free.end())
    this->free.erase(found);
  const bool was_borrowed = this->is_borrowed(*connection);
  this->Remove(connection.get());
  if (was_borrowed) {
    this->next_borrow_at = this->scheduler.Now() + kBorrowRetryDelay;
    return this->events.did_fail(failure);
  }
  // The failure may concern only this connection. Probing the others and
  // opening the next one will show whether the target is unreachable.
  this->suspect_before = this->scheduler.Now();
  if (failure == ConnectionFailure::kConnectionLimit) {
    this->backing_off_until = this->scheduler.Now() + kConnectionLimitBackOff;
  } else {
    this->back_off_delay =
        std::clamp(this->back_off_delay * 2, kInitialBackOff, kMaximumBackOff);
    this->backing_off_until = this->scheduler.Now() + this->back_off_delay;
  }
  this->events.did_fail(failure);
}

void ConnectionPool::Remove(const PooledConnection* connection) {
  this->borrowed.erase(connection);
  std::erase_if(this->connections, [connection](const auto& known) {
    return known.get() == connection;
  });
}

}  // namespace kingcupmill
