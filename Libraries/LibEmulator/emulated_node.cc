#include "LibEmulator/emulated_node.h"

#include <utility>
#include <vector>

#include "LibCore/lifetime_guard.h"
#include "LibCore/verify.h"
#include "LibGateway/gateway_session.h"
#include "LibPeer/peer_query.h"

namespace kingcupmill {

namespace {

constexpr Duration kNetworkDelay = std::chrono::milliseconds(1);
constexpr Duration kConnectTime = std::chrono::milliseconds(12);
// How long a target keeps the session of a proxy that vanished.
constexpr Duration kOrphanedSessionTimeout = std::chrono::seconds(3);

}  // namespace

// Connections to emulated targets. What is sent during a network partition is
// lost, and the connection stays silent afterwards.
class EmulatedNode::Dialer final : public TargetDialer {
 public:
  Dialer(EmulatedNode& node, Scheduler& scheduler)
      : node(node), scheduler(scheduler) {}

  std::unique_ptr<TargetChannel> Dial(const TargetEndpoint& endpoint,
                                      ChannelHandlers handlers) override {
    return std::make_unique<Channel>(*this, this->node, this->scheduler,
                                     endpoint, std::move(handlers));
  }

  void SilenceConnections() {
    for (Channel* channel : this->channels)
      channel->Silence();
  }

 private:
  class Channel final : public TargetChannel {
   public:
    Channel(Dialer& dialer,
            EmulatedNode& node,
            Scheduler& scheduler,
            const TargetEndpoint& endpoint,
            ChannelHandlers handlers)
        : dialer(dialer),
          node(node),
          dependencies(node.dependencies),
          from(node.node_address),
          to(endpoint.target),
          customer(endpoint.customer),
          scheduler(scheduler),
          target(node.dependencies.groups.at(endpoint.group)
                     ->Find(endpoint.target)),
          handlers(std::make_shared<ChannelHandlers>(std::move(handlers))) {
      this->dialer.channels.insert(this);
      this->scheduler.PostAfter(kConnectTime,
                                this->life.Wrap([this] { this->Open(); }));
    }

    ~Channel() override {
      this->Close();
      this->dialer.channels.erase(this);
    }

    void Silence() { this->is_silent = true; }

    void Send(std::span<const TargetCommand> commands) override {
      for (const TargetCommand& command : commands) {
        if (this->is_blocked())
          continue;
        this->dependencies.cluster_scheduler.PostAfter(
            kNetworkDelay,
            [target = this->target, session = this->session, command] {
              if (session)
                target->Submit(session, command);
            });
      }
    }

    void Close() override {
      if (!this->session)
        return;
      this->session->did_answer = nullptr;
      // The target learns of the close only if the network path works.
      this->dependencies.cluster_scheduler.PostAfter(
          this->is_blocked() || this->node.is_losing_power
              ? kOrphanedSessionTimeout
              : kNetworkDelay,
          [target = this->target, session = this->session] {
            target->CloseSession(session);
          });
      this->session.reset();
      *this->handlers = {};
    }

   private:
    // A connection that lost a message stays silent: a byte stream is delivered
    // in order or not at all.
    bool is_blocked() {
      this->is_silent =
          this->is_silent ||
          this->dependencies.partitions.is_blocked(this->from, this->to.value);
      return this->is_silent;
    }

    void Open() {
      // During a partition the connection attempt gets no response.
      if (this->is_blocked())
        return;
      this->session = this->target->OpenSession(this->customer);
      if (!this->session) {
        const auto fail = this->handlers->did_fail;
        if (fail)
          fail(this->target->is_running() ? ConnectionFailure::kConnectionLimit
                                          : ConnectionFailure::kLost);
        return;
      }
      this->session->did_answer =
          [weak = std::weak_ptr<EmulatedSession>(this->session),
           deliver = this->life.Wrap([this](const StatementAnswer& answer) {
             this->Deliver(answer);
           })](StatementAnswer answer) {
            if (weak.lock())
              deliver(answer);
          };
      const auto open = this->handlers->did_open;
      if (open)
        open(this->target->position());
    }

    void Deliver(const StatementAnswer& answer) {
      if (this->is_blocked())
        return;
      this->scheduler.PostAfter(kNetworkDelay, this->life.Wrap([this, answer] {
        const auto receive = this->handlers->did_receive;
        if (receive)
          receive(answer);
      }));
    }

    Dialer& dialer;
    const EmulatedNode& node;
    Dependencies& dependencies;
    std::string from;
    TargetName to;
    CustomerName customer;
    Scheduler& scheduler;
    EmulatedTarget* target;
    std::shared_ptr<ChannelHandlers> handlers;
    std::shared_ptr<EmulatedSession> session;
    bool is_silent = false;
    LifetimeGuard life;
  };

  EmulatedNode& node;
  Scheduler& scheduler;
  std::set<Channel*> channels;
};

// Sends queries to other emulated proxies. All queries to one proxy share a
// link, which is opened anew after a query on it has timed out.
class EmulatedNode::Links final : public PeerLinks {
 public:
  Links(EmulatedNode& node, Scheduler& scheduler)
      : node(node), scheduler(scheduler) {}

  void SilenceConnections() {
    for (const auto& [address, link] : this->link_by_address)
      link->is_silent = true;
  }

  void Ask(const std::string& address,
           const PeerQuery& query,
           Duration timeout,
           DidAnswer did_answer) override {
    std::shared_ptr<Link>& current = this->link_by_address[address];
    if (!current)
      current = std::make_shared<Link>();
    const std::shared_ptr<Link> link = current;
    auto is_answered = std::make_shared<bool>(false);
    auto finish = this->life.Wrap(
        [is_answered, did_answer](const std::optional<PeerAnswer>& answer) {
          if (!std::exchange(*is_answered, true))
            did_answer(answer);
        });
    this->scheduler.PostAfter(
        timeout, this->life.Wrap([this, address, link, is_answered, finish,
                                  none = std::optional<PeerAnswer>()] {
          const auto found = this->link_by_address.find(address);
          if (!*is_answered && found != this->link_by_address.end() &&
              found->second == link)
            this->link_by_address.erase(found);
          finish(none);
        }));
    std::vector<uint8_t> bytes = EncodeQuery(1, query);
    this->node.dependencies.traffic.DidSendQuery(this->node.node_address,
                                                 query.index(), bytes.size());
    if (link->is_silent || this->node.dependencies.partitions.is_blocked(
                               this->node.node_address, address))
      return;
    this->node.dependencies.cluster_scheduler.PostAfter(
        kNetworkDelay,
        [dependencies = &this->node.dependencies, own = this->node.node_address,
         address, kind = query.index(), bytes = std::move(bytes), link,
         finish] {
          EmulatedNode* peer = dependencies->find_node(address);
          if (!peer || !peer->gateway() || peer->is_frozen())
            return;
          // Passes through the codec, as on a real connection.
          const auto received = DecodePeerBytes(bytes);
          KINGCUPMILL_VERIFY(received.has_value());
          peer->gateway()->HandleQuery(
              std::get<NumberedQuery>(*received).query,
              [dependencies, own, address, kind, link,
               finish](const PeerAnswer& answer) {
                const std::vector<uint8_t> back = EncodeAnswer(1, answer);
                dependencies->traffic.DidSendAnswer(address, kind, back.size());
                if (link->is_silent ||
                    dependencies->partitions.is_blocked(own, address))
                  return;
                dependencies->cluster_scheduler.PostAfter(
                    kNetworkDelay, [dependencies, own, finish, back] {
                      EmulatedNode* sender = dependencies->find_node(own);
                      if (!sender || sender->is_frozen())
                        return;
                      const auto decoded = DecodePeerBytes(back);
                      KINGCUPMILL_VERIFY(decoded.has_value());
                      finish(std::get<NumberedAnswer>(*decoded).answer);
                    });
              });
        });
  }

 private:
  struct Link {
    bool is_silent = false;
  };

  EmulatedNode& node;
  Scheduler& scheduler;
  std::map<std::string, std::shared_ptr<Link>> link_by_address;
  LifetimeGuard life;
};

class EmulatedNode::Authority final : public PromotionAuthority {
 public:
  Authority(EmulatedNode& node, Scheduler& scheduler)
      : node(node), scheduler(scheduler) {}

  void Promote(const Order& order, Duration, DidAnswer did_answer) override {
    const bool is_running =
        this->node.dependencies.groups.at(order.group)->Promote(order.target);
    this->scheduler.PostAfter(4 * kNetworkDelay, [did_answer, is_running] {
      did_answer(is_running ? PromotionOutcome::kAccepted
                            : PromotionOutcome::kNotRunning);
    });
  }

 private:
  EmulatedNode& node;
  Scheduler& scheduler;
};

struct EmulatedNode::Process {
  Process(EmulatedNode& node, uint64_t seed)
      : scheduler(node.dependencies.cluster_scheduler),
        store(node.dependencies.cluster_scheduler,
              scheduler,
              node.dependencies.store,
              node.dependencies.traffic,
              seed),
        dialer(node, scheduler),
        links(node, scheduler),
        authority(node, scheduler),
        gateway(OptionsOf(node, seed),
                Gateway::Dependencies{scheduler, store, dialer, links,
                                      authority, node.dependencies.codec}) {}

  static Gateway::Options OptionsOf(const EmulatedNode& node, uint64_t seed) {
    Gateway::Options options;
    options.vm.value = "vm-" + node.node_address;
    options.place = node.place;
    options.peer_address = node.node_address;
    options.incarnation = node.node_address + "#" + std::to_string(node.starts);
    options.random_seed = seed;
    options.zone_traffic = node.dependencies.zone_traffic;
    return options;
  }

  NodeScheduler scheduler;
  EmulatedStoreAccess store;
  Dialer dialer;
  Links links;
  Authority authority;
  Gateway gateway;
  struct OpenCaller {
    CallerChannel* channel = nullptr;
    std::unique_ptr<GatewaySession> session;
  };
  // Declared after the gateway, so that the sessions are destroyed before it.
  std::map<SessionNumber, OpenCaller> sessions;
};

EmulatedNode::EmulatedNode(Dependencies dependencies,
                           std::string address,
                           PlaceName place)
    : dependencies(std::move(dependencies)),
      node_address(std::move(address)),
      place(std::move(place)) {}

EmulatedNode::~EmulatedNode() = default;

void EmulatedNode::Start(uint64_t seed) {
  ++this->starts;
  this->frozen_until = TimePoint{};
  this->process = std::make_unique<Process>(*this, seed);
  this->process->store.SetFault(this->store_fault);
  this->process->gateway.Start();
}

void EmulatedNode::Kill() {
  this->process.reset();
}

void EmulatedNode::LosePower() {
  this->is_losing_power = true;
  this->process.reset();
  this->is_losing_power = false;
}

void EmulatedNode::Stop(Duration grace, std::function<void()> did_end) {
  if (!this->process)
    return;
  this->did_end_stop = std::move(did_end);
  const uint64_t stopped_start = this->starts;
  const TimePoint stopped_at = this->dependencies.cluster_scheduler.Now();
  this->process->scheduler.Post([this, stopped_start] {
    this->process->gateway.Drain([this, stopped_start] {
      this->dependencies.cluster_scheduler.Post(
          [this, stopped_start] { this->DidStop(stopped_start); });
    });
  });
  this->dependencies.cluster_scheduler.PostAfter(
      grace, [this, stopped_start, stopped_at] {
        // A process that was frozen had no chance to end by itself, and its
        // callers are not told that their sessions closed.
        if (this->frozen_until > stopped_at && this->process &&
            this->starts == stopped_start)
          this->process->sessions.clear();
        this->DidStop(stopped_start);
      });
}

void EmulatedNode::DidStop(uint64_t stopped_start) {
  if (!this->process || this->starts != stopped_start || !this->did_end_stop)
    return;
  // Callers see the close of each connection that is still open.
  std::vector<CallerChannel*> open;
  for (const auto& [number, caller] : this->process->sessions)
    open.push_back(caller.channel);
  this->Kill();
  for (CallerChannel* channel : open)
    channel->Close();
  std::exchange(this->did_end_stop, nullptr)();
}

void EmulatedNode::Freeze(Duration duration) {
  if (!this->process)
    return;
  this->frozen_until = this->dependencies.cluster_scheduler.Now() + duration;
  this->process->scheduler.FreezeUntil(this->frozen_until);
}

void EmulatedNode::SilenceConnections() {
  if (!this->process)
    return;
  this->process->store.SilenceConnections();
  this->process->links.SilenceConnections();
  this->process->dialer.SilenceConnections();
}

void EmulatedNode::SilencePolls(std::string_view table) {
  if (this->process)
    this->process->store.SilencePolls(table);
}

void EmulatedNode::SetSilentTable(std::string_view table) {
  if (this->process)
    this->process->store.SetSilentTable(table);
}

bool EmulatedNode::is_frozen() const {
  return this->dependencies.cluster_scheduler.Now() < this->frozen_until;
}

void EmulatedNode::SetStoreFault(EmulatedStoreAccess::Fault fault) {
  this->store_fault = fault;
  if (this->process)
    this->process->store.SetFault(fault);
}

std::optional<EmulatedNode::SessionNumber> EmulatedNode::OpenSession(
    CallerChannel& channel,
    const std::string& database,
    const std::string& key) {
  if (!this->process)
    return std::nullopt;
  if (!this->process->gateway.accepts_sessions())
    return std::nullopt;
  auto session = this->process->gateway.OpenSession(channel, database, key);
  if (!session)
    return std::nullopt;
  const SessionNumber number = this->next_session++;
  this->process->sessions.emplace(
      number, Process::OpenCaller{&channel, std::move(*session)});
  return number;
}

bool EmulatedNode::has_session(SessionNumber number) const {
  return this->process && this->process->sessions.contains(number);
}

void EmulatedNode::SendTo(SessionNumber number, CallerStatement statement) {
  this->process->sessions.at(number).session->DidReceive(std::move(statement));
}

void EmulatedNode::CloseSession(SessionNumber number) {
  if (!this->has_session(number))
    return;
  const auto closed = this->process->sessions.extract(number);
  this->process->gateway.DidCloseSession(*closed.mapped().session);
}

Gateway* EmulatedNode::gateway() {
  return this->process ? &this->process->gateway : nullptr;
}

}  // namespace kingcupmill
