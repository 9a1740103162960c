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
  for (const auto& connection : std::exchange(this->connections, {}))
    connection->Close();
}

std::shared_ptr<PooledConnection> ConnectionPool::Acquire(
    const SessionContext& session_context) {
  const auto best = std::min_element(
      this->free.begin(), this->free.end(),
      [&](const auto& left, const auto& right) {
        const size_t left_count = left->SetupCommandCount(session_context);
        const size_t right_count = right->SetupCommandCount(session_context);
        if (left_count != right_count)
          return left_count < right_count;
        return left->last_answer_at() > right->last_answer_at();
      });
  if (best == this->free.end())
    return nullptr;
  std::shared_ptr<PooledConnection> connection = *best;
  this->free.erase(best);
  ++this->in_use;
  return connection;
}

std::shared_ptr<PooledConnection> ConnectionPool::AcquireOwn(
    const SessionContext& session_context) {
  const bool has_own = std::any_of(this->free.begin(), this->free.end(),
                                   [this](const auto& connection) {
                                     return !this->is_borrowed(*connection);
                                   });
  // Borrowed connections are never kept in `free`, so either all or none of
  // these are this proxy's own.
  return has_own ? this->Acquire(session_context) : nullptr;
}

void ConnectionPool::Release(
    const std::shared_ptr<PooledConnection>& connection) {
  KINGCUPMILL_VERIFY(this->in_use > 0);
  --this->in_use;
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
  this->events.did_become_free();
}

bool ConnectionPool::Open() {
  const size_t own = this->connections.size() - this->borrowed.size();
  if (this->is_retired || own >= this->limit || this->is_backing_off())
    return false;
  this->connections.push_back(this->CreateConnection(this->dialers.own));
  return true;
}

bool ConnectionPool::Borrow() {
  if (this->is_retired || this->borrowed.size() >= kMaximumBorrowed ||
      this->scheduler.Now() < this->next_borrow_at)
    return false;
  auto connection = this->CreateConnection(this->dialers.borrowed);
  this->borrowed.insert(connection.get());
  this->connections.push_back(std::move(connection));
  return true;
}

std::shared_ptr<PooledConnection> ConnectionPool::CreateConnection(
    TargetDialer& dialer) {
  auto created = std::make_shared<std::weak_ptr<PooledConnection>>();
  const TimePoint started_at = this->scheduler.Now();
  auto connection = std::make_shared<PooledConnection>(
      this->scheduler, dialer, this->target_endpoint,
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
  return this->connections.size() - this->open_count();
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
