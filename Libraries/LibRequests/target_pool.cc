#include "LibRequests/target_pool.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "LibCore/verify.h"

namespace kingcupmill {

TargetPool::TargetPool(Scheduler& scheduler,
                       TargetConnector& connector,
                       TargetName target,
                       Options options,
                       DidLoseControl did_lose_control)
    : scheduler(scheduler),
      connector(connector),
      target(std::move(target)),
      options(std::move(options)),
      did_lose_control(std::move(did_lose_control)),
      control_timeout(this->options.control_timeout),
      queue([this] {
        Queue::Options queue_options;
        queue_options.concurrency = 0;
        queue_options.maximum_length = this->options.maximum_queue;
        return queue_options;
      }()) {
  this->Open(Use::kControl);
  for (size_t index = 0; index < this->options.work_connections; ++index)
    this->Open(Use::kWork);
}

TargetPool::~TargetPool() {
  for (auto& [id, connection] : this->connections)
    connection.transport->Close();
}

void TargetPool::Submit(const ApplicationName& application,
                        Priority priority,
                        TimePoint deadline,
                        Work work) {
  if (!this->is_usable())
    return work.did_finish(SubmitFailure::kNoConnection, 0);
  auto refused =
      this->queue.Push(this->scheduler.Now(),
                       {application, priority, deadline, std::move(work)});
  if (refused)
    return refused->work.did_finish(SubmitFailure::kOverloaded, 0);
  this->Dispatch();
}

void TargetPool::SubmitPinned(PinId pin, TimePoint deadline, Work work) {
  const auto connection = this->connections.find(pin);
  if (connection == this->connections.end() ||
      connection->second.state != State::kPinned) {
    return work.did_finish(SubmitFailure::kNoConnection, 0);
  }
  KINGCUPMILL_VERIFY(!connection->second.in_flight);
  this->SendWork(pin, deadline, std::move(work), false);
}

void TargetPool::Unpin(PinId pin, UnpinMode mode) {
  const auto connection = this->connections.find(pin);
  if (connection == this->connections.end())
    return;
  KINGCUPMILL_VERIFY(connection->second.state == State::kPinned);
  if (mode == UnpinMode::kClose || connection->second.in_flight)
    return this->CloseAndReopen(pin);
  connection->second.state = State::kIdle;
  this->UpdateConcurrency();
  this->Dispatch();
}

void TargetPool::SubmitControl(TargetRequest request,
                               DidReceiveControl did_receive) {
  const auto control = this->FindIdleControlConnection();
  if (!control)
    return did_receive(std::nullopt);
  this->SendControl(*control, std::move(request),
                    this->control_timeout.timeout(), std::move(did_receive));
}

void TargetPool::FailWorkInFlight() {
  std::vector<ConnectionId> busy;
  for (const auto& [id, connection] : this->connections) {
    if (connection.in_flight)
      busy.push_back(id);
  }
  for (const ConnectionId id : busy)
    this->CloseAndReopen(id);
}

void TargetPool::Tick() {
  const TimePoint now = this->scheduler.Now();
  for (auto& expired : this->queue.TakeExpired(now))
    expired.work.did_finish(SubmitFailure::kOverloaded, 0);
  std::vector<ConnectionId> due;
  for (const auto& [id, connection] : this->connections) {
    const bool is_due =
        connection.is_suspect ||
        now - connection.last_answer_at >= this->options.test_interval;
    if (connection.state == State::kIdle && connection.use == Use::kWork &&
        is_due) {
      due.push_back(id);
    }
  }
  for (const ConnectionId id : due)
    this->StartConnectionTest(id);
}

bool TargetPool::is_usable() const {
  return std::any_of(this->connections.begin(), this->connections.end(),
                     [](const auto& item) {
                       return item.second.use == Use::kWork &&
                              item.second.state != State::kOpening;
                     });
}

Duration TargetPool::ExpectedWait(Priority priority) const {
  return this->queue.ExpectedWait(priority);
}

void TargetPool::Open(Use use) {
  const ConnectionId id = this->next_connection++;
  Connection& connection = this->connections[id];
  connection.use = use;
  connection.opened_at = this->scheduler.Now();
  TargetConnectionHandlers handlers;
  handlers.did_open = this->life.Wrap([this, id] { this->DidOpen(id); });
  handlers.did_close =
      this->life.Wrap([this, id] { this->CloseAndReopen(id); });
  handlers.did_receive = this->life.Wrap([this, id](TargetResponse response) {
    this->DidReceive(id, std::move(response));
  });
  connection.transport =
      this->connector.Connect(this->target, std::move(handlers));
  this->scheduler.PostAfter(this->options.open_timeout,
                            this->life.Wrap([this, id] {
                              const auto opening = this->connections.find(id);
                              if (opening != this->connections.end() &&
                                  opening->second.state == State::kOpening) {
                                this->CloseAndReopen(id);
                              }
                            }));
}

void TargetPool::DidOpen(ConnectionId id) {
  if (!this->connections.contains(id))
    return;
  TargetRequest hello;
  hello.operation = TargetOperation::kHello;
  hello.proposer = this->options.client_name;
  this->SendControl(id, std::move(hello), this->options.open_timeout,
                    [this, id](const std::optional<TargetResponse>& response) {
                      if (!response)
                        return;
                      if (response->error != TargetErrorCode::kNone)
                        return this->CloseAndReopen(id);
                      Connection& opened = this->connections.at(id);
                      opened.state = State::kIdle;
                      opened.last_answer_at = this->scheduler.Now();
                      this->UpdateConcurrency();
                      this->Dispatch();
                    });
}

void TargetPool::DidReceive(ConnectionId id, TargetResponse response) {
  const auto found = this->connections.find(id);
  if (found == this->connections.end())
    return;
  Connection& connection = found->second;
  connection.last_answer_at = this->scheduler.Now();
  auto control = connection.controls.extract(response.number);
  if (!control.empty())
    return control.mapped()(std::move(response));
  // A response that matches no request in flight is late or duplicated.
  const bool is_match = connection.in_flight &&
                        (connection.in_flight->number == response.number ||
                         this->options.answer_matching == AnswerMatching::kAny);
  if (!is_match)
    return;
  this->DidReceiveWork(id, std::move(response));
}

void TargetPool::DidReceiveWork(ConnectionId id, TargetResponse response) {
  Connection& connection = this->connections.at(id);
  InFlight finished = std::move(*connection.in_flight);
  connection.in_flight.reset();
  this->scheduler.Cancel(finished.timer);
  if (finished.is_from_queue)
    this->queue.DidFinish(this->scheduler.Now() - finished.sent_at);
  const bool is_pinned = finished.pin_policy == PinPolicy::kPin &&
                         response.error == TargetErrorCode::kNone;
  if (is_pinned)
    connection.state = State::kPinned;
  else if (connection.state == State::kBusy)
    connection.state = State::kIdle;
  this->UpdateConcurrency();
  finished.did_finish(std::move(response), id);
  this->Dispatch();
}

void TargetPool::CloseAndReopen(ConnectionId id) {
  auto node = this->connections.extract(id);
  if (node.empty())
    return;
  Connection dropped = std::move(node.mapped());
  dropped.transport->Close();
  const Use use = dropped.use;
  this->scheduler.PostAfter(this->options.reopen_delay,
                            this->life.Wrap([this, use] { this->Open(use); }));
  this->UpdateConcurrency();
  if (use == Use::kControl)
    this->did_lose_control();
  for (auto& [number, did_receive] : dropped.controls)
    did_receive(std::nullopt);
  if (!dropped.in_flight)
    return;
  this->scheduler.Cancel(dropped.in_flight->timer);
  if (dropped.in_flight->is_from_queue)
    this->queue.DidFinish(this->scheduler.Now() - dropped.in_flight->sent_at);
  dropped.in_flight->did_finish(SubmitFailure::kLost, 0);
}

void TargetPool::DidFindUnresponsive(ConnectionId id) {
  const auto silent = this->connections.find(id);
  if (silent == this->connections.end())
    return;
  ++this->unresponsive_connections;
  // Whatever dropped this connection without closing it may also have dropped
  // the others that were open at the same time.
  for (auto& [other, connection] : this->connections)
    connection.is_suspect = true;
  this->CloseAndReopen(id);
  this->Tick();
}

void TargetPool::SendControl(ConnectionId id,
                             TargetRequest request,
                             Duration timeout,
                             DidReceiveControl did_receive) {
  Connection& connection = this->connections.at(id);
  const uint64_t number = this->next_number++;
  request.number = number;
  const TimePoint sent_at = this->scheduler.Now();
  const bool is_hello = request.operation == TargetOperation::kHello;
  const auto timer = this->scheduler.PostAfter(
      timeout, this->life.Wrap([this, id, number, timeout] {
        const auto found = this->connections.find(id);
        if (found == this->connections.end() ||
            !found->second.controls.contains(number)) {
          return;
        }
        this->control_timeout.Observe(timeout);
        this->DidFindUnresponsive(id);
      }));
  connection.controls.emplace(
      number,
      [this, sent_at, timer, is_hello, did_receive = std::move(did_receive)](
          std::optional<TargetResponse> response) {
        this->scheduler.Cancel(timer);
        if (response && !is_hello)
          this->control_timeout.Observe(this->scheduler.Now() - sent_at);
        did_receive(std::move(response));
      });
  connection.transport->Send(request);
}

void TargetPool::StartConnectionTest(ConnectionId id) {
  const auto found = this->connections.find(id);
  if (found == this->connections.end() || found->second.state != State::kIdle)
    return;
  found->second.state = State::kTesting;
  this->UpdateConcurrency();
  TargetRequest request;
  request.operation = TargetOperation::kStatus;
  this->SendControl(id, std::move(request), this->control_timeout.timeout(),
                    [this, id](const std::optional<TargetResponse>& response) {
                      if (!response)
                        return;
                      Connection& tested = this->connections.at(id);
                      tested.state = State::kIdle;
                      tested.is_suspect = false;
                      this->UpdateConcurrency();
                      this->Dispatch();
                    });
}

void TargetPool::SendWork(ConnectionId id,
                          TimePoint deadline,
                          Work work,
                          bool is_from_queue) {
  Connection& connection = this->connections.at(id);
  const TimePoint now = this->scheduler.Now();
  const uint64_t number = this->next_number++;
  InFlight in_flight;
  in_flight.number = number;
  in_flight.sent_at = now;
  in_flight.pin_policy = work.pin_policy;
  in_flight.is_from_queue = is_from_queue;
  in_flight.did_finish = std::move(work.did_finish);
  const Duration timeout =
      std::min(this->options.attempt_timeout, deadline - now);
  in_flight.timer =
      this->scheduler.PostAfter(timeout, this->life.Wrap([this, id, number] {
        const auto found = this->connections.find(id);
        if (found == this->connections.end() || !found->second.in_flight ||
            found->second.in_flight->number != number) {
          return;
        }
        this->CloseAndReopen(id);
      }));
  connection.in_flight = std::move(in_flight);
  work.request.number = number;
  connection.transport->Send(work.request);
}

void TargetPool::Dispatch() {
  for (auto idle = this->FindIdleWorkConnection(); idle;
       idle = this->FindIdleWorkConnection()) {
    if (this->connections.at(*idle).is_suspect) {
      this->StartConnectionTest(*idle);
      continue;
    }
    auto next = this->queue.Pop();
    if (!next)
      return;
    this->connections.at(*idle).state = State::kBusy;
    this->SendWork(*idle, next->deadline, std::move(next->work), true);
  }
}

void TargetPool::UpdateConcurrency() {
  size_t usable = 0;
  for (const auto& [id, connection] : this->connections) {
    const bool is_usable =
        connection.state == State::kIdle || connection.state == State::kBusy;
    if (connection.use == Use::kWork && is_usable)
      ++usable;
  }
  this->queue.SetConcurrency(usable);
}

std::optional<TargetPool::ConnectionId> TargetPool::FindIdleWorkConnection()
    const {
  for (const auto& [id, connection] : this->connections) {
    if (connection.use == Use::kWork && connection.state == State::kIdle)
      return id;
  }
  return std::nullopt;
}

std::optional<TargetPool::ConnectionId> TargetPool::FindIdleControlConnection()
    const {
  for (const auto& [id, connection] : this->connections) {
    if (connection.use == Use::kControl && connection.state == State::kIdle)
      return id;
  }
  return std::nullopt;
}

}  // namespace kingcupmill
