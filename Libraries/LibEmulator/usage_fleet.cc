#include "LibEmulator/usage_fleet.h"

#include <algorithm>
#include <cmath>

#include "LibEmulator/node_scheduler.h"

namespace kingcupmill {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr Duration kDelayBetweenZones = microseconds(1400);
constexpr Duration kDelayWithinZone = microseconds(300);
// Proxies read the membership at intervals up to this.
constexpr Duration kMaximumReadInterval = milliseconds(1200);
// A restarted process registers after at most this.
constexpr Duration kMaximumRegisterDelay = milliseconds(2000);
constexpr Duration kMaximumWait = milliseconds(40);

}  // namespace

// Delivers messages between the proxies of a fleet, encoded and decoded again.
class UsageFleet::Links final : public PeerLinks {
 public:
  Links(UsageFleet& fleet, size_t self) : fleet(fleet), self(self) {}

  void Ask(const std::string& address,
           const PeerQuery& query,
           Duration timeout,
           DidAnswer did_answer) override;

 private:
  UsageFleet& fleet;
  size_t self;
};

struct UsageFleet::Node {
  std::unique_ptr<NodeScheduler> scheduler;
  std::unique_ptr<Links> links;
  std::unique_ptr<EventLog> event_log;
  std::unique_ptr<UsageService> usage;
  std::string incarnation;
  TimePoint read_at{};
  TimePoint frozen_until{};
  bool is_running() const { return this->usage != nullptr; }
  void Stop() {
    this->usage.reset();
    this->event_log.reset();
    this->links.reset();
    this->scheduler.reset();
  }
};

void UsageFleet::Links::Ask(const std::string& address,
                            const PeerQuery& query,
                            Duration timeout,
                            DidAnswer did_answer) {
  UsageFleet& fleet = this->fleet;
  const size_t from = this->self;
  const size_t to = std::stoul(address);
  NodeScheduler& own = *fleet.nodes.at(from)->scheduler;
  auto callback = std::make_shared<DidAnswer>(std::move(did_answer));
  const auto finish = [callback](std::optional<PeerAnswer> answer) {
    if (*callback)
      std::exchange(*callback, nullptr)(std::move(answer));
  };
  own.PostAfter(timeout, [finish] { finish(std::nullopt); });
  const std::vector<uint8_t> bytes = EncodeQuery(1, query);
  ++fleet.message_count;
  fleet.byte_count += bytes.size();
  const Duration delay = fleet.ZoneOf(from) == fleet.ZoneOf(to)
                             ? kDelayWithinZone
                             : kDelayBetweenZones;
  const std::string asker = fleet.nodes.at(from)->incarnation;
  // Answers reach the process that asked, if it still runs.
  const auto answer_later = [&fleet, from, to, asker, delay,
                             finish](std::optional<PeerAnswer> answer) {
    fleet.scheduler.PostAfter(delay, [&fleet, from, to, asker, finish, answer] {
      Node& node = *fleet.nodes.at(from);
      if (fleet.is_cut(from, to) || !node.is_running() ||
          node.incarnation != asker)
        return;
      node.scheduler->Post([finish, answer] { finish(answer); });
    });
  };
  fleet.scheduler.PostAfter(delay, [&fleet, from, to, bytes, answer_later] {
    if (fleet.is_cut(from, to))
      return;
    Node& node = *fleet.nodes.at(to);
    if (!node.is_running())
      return answer_later(NotSent{});
    node.scheduler->Post([&fleet, &node, bytes, answer_later] {
      const auto decoded = DecodePeerBytes(bytes);
      const PeerQuery& query = std::get<NumberedQuery>(*decoded).query;
      const auto send = [&fleet, answer_later](const PeerAnswer& answer) {
        ++fleet.message_count;
        fleet.byte_count += EncodeAnswer(1, answer).size();
        answer_later(answer);
      };
      if (const auto* pool = std::get_if<UsagePoolQuery>(&query))
        return node.usage->Handle(*pool, send);
      node.usage->Handle(std::get<UsageQuery>(query), send);
    });
  });
}

UsageFleet::UsageFleet(size_t size, size_t zones, uint64_t seed)
    : zones(zones), random(seed) {
  for (size_t proxy = 0; proxy < size; ++proxy) {
    this->nodes.push_back(std::make_unique<Node>());
    this->registered.insert(proxy);
  }
  for (size_t proxy = 0; proxy < size; ++proxy)
    this->Start(proxy);
}

UsageFleet::~UsageFleet() {
  for (auto& node : this->nodes)
    node->Stop();
}

std::string UsageFleet::AddressOf(size_t proxy) const {
  return std::to_string(proxy);
}

PlaceName UsageFleet::PlaceOf(size_t proxy) const {
  return PlaceName{std::to_string(this->ZoneOf(proxy))};
}

bool UsageFleet::is_cut(size_t one, size_t other) const {
  return this->scheduler.Now() < this->cut_until &&
         this->isolated.contains(one) != this->isolated.contains(other);
}

double UsageFleet::RandomShare() {
  return static_cast<double>(this->random.Below(1'000'000) + 1) / 1'000'001;
}

CustomerTable UsageFleet::Table() const {
  CustomerTable table;
  for (const auto& [name, limit] : this->limits) {
    CustomerDeclaration declaration;
    declaration.usage_limit = limit;
    (void)table.Add(CustomerName{name}, declaration, {});
  }
  return table;
}

void UsageFleet::Start(size_t proxy) {
  Node& node = *this->nodes.at(proxy);
  node.scheduler = std::make_unique<NodeScheduler>(this->scheduler);
  node.links = std::make_unique<Links>(*this, proxy);
  node.event_log = std::make_unique<EventLog>(*node.scheduler);
  node.incarnation = std::to_string(this->next_incarnation++);
  node.read_at = TimePoint{};
  node.usage = std::make_unique<UsageService>(UsageService::Context{
      *node.scheduler, *node.links, *node.event_log, this->AddressOf(proxy),
      this->PlaceOf(proxy), [&node] { return node.read_at; },
      this->next_incarnation});
  node.usage->SetCustomers(this->Table());
  this->ReadMembers(proxy);
}

void UsageFleet::ReadMembers(size_t proxy) {
  Node& node = *this->nodes.at(proxy);
  const bool is_isolated =
      this->scheduler.Now() < this->cut_until && this->isolated.contains(proxy);
  if (!is_isolated) {
    node.read_at = this->scheduler.Now();
    std::vector<UsageService::Member> members;
    for (const size_t other : this->registered)
      members.push_back({this->AddressOf(other),
                         this->nodes.at(other)->incarnation,
                         this->PlaceOf(other)});
    std::sort(members.begin(), members.end(),
              [](const auto& left, const auto& right) {
                return left.address < right.address;
              });
    node.usage->SetMembers(members);
  }
  node.usage->Tick();
  node.scheduler->PostAfter(
      duration_cast<Duration>(kMaximumReadInterval * this->RandomShare()),
      [this, proxy] { this->ReadMembers(proxy); });
}

void UsageFleet::SetLimit(const std::string& customer,
                          UsageLimit limit,
                          Duration delay) {
  this->AddLimit(customer, limit);
  this->ApplyLimits(delay);
}

void UsageFleet::AddLimit(const std::string& customer, UsageLimit limit) {
  this->limits[customer] = limit;
  this->totals_by_customer.try_emplace(customer);
  this->admitted_at.try_emplace(customer);
}

void UsageFleet::ApplyLimits(Duration delay) {
  for (size_t proxy = 0; proxy < this->nodes.size(); ++proxy) {
    Node& node = *this->nodes.at(proxy);
    if (!node.is_running())
      continue;
    if (delay == Duration(0)) {
      node.usage->SetCustomers(this->Table());
      continue;
    }
    node.scheduler->PostAfter(
        duration_cast<Duration>(delay * this->RandomShare()),
        [this, &node] { node.usage->SetCustomers(this->Table()); });
  }
}

void UsageFleet::SetDemand(const std::string& customer,
                           size_t proxy,
                           double rate) {
  Demand& demand = this->demands[{customer, proxy}];
  if (demand.rate == rate)
    return;
  demand.rate = rate;
  this->ScheduleOffer(customer, proxy, ++demand.generation);
}

void UsageFleet::SpreadDemand(const std::string& customer,
                              const std::vector<size_t>& on,
                              double rate) {
  const std::set<size_t> chosen(on.begin(), on.end());
  for (size_t proxy = 0; proxy < this->nodes.size(); ++proxy)
    this->SetDemand(
        customer, proxy,
        chosen.contains(proxy) ? rate / static_cast<double>(chosen.size()) : 0);
}

void UsageFleet::ScheduleOffer(const std::string& customer,
                               size_t proxy,
                               uint64_t generation) {
  const Demand& demand = this->demands[{customer, proxy}];
  if (demand.rate <= 0)
    return;
  const std::chrono::duration<double> gap(-std::log(this->RandomShare()) /
                                          (demand.rate * this->demand_factor));
  this->scheduler.PostAfter(
      duration_cast<Duration>(gap), [this, customer, proxy, generation] {
        if (this->demands[{customer, proxy}].generation != generation)
          return;
        this->Offer(customer, proxy);
        this->ScheduleOffer(customer, proxy, generation);
      });
}

void UsageFleet::Offer(const std::string& customer, size_t proxy) {
  Node& node = *this->nodes.at(proxy);
  // The callers of a process that does not answer send nothing more to it.
  if (!node.is_running() || this->scheduler.Now() < node.frozen_until)
    return;
  Totals& totals = this->totals_by_customer.at(customer);
  ++totals.offered;
  const auto finish = [this, customer](const UsageDecision& decision) {
    Totals& counted = this->totals_by_customer.at(customer);
    if (std::holds_alternative<UsageRefusal>(decision)) {
      ++counted.refused;
      return;
    }
    ++counted.admitted;
    this->admitted_at.at(customer).push_back(this->scheduler.Now());
  };
  const CustomerName name{customer};
  if (!node.usage->is_limited(name))
    return finish(UsageToken{});
  if (const auto decision = node.usage->Decide(name, kMaximumWait))
    return finish(*decision);
  node.usage->Wait(name, kMaximumWait, finish);
}

void UsageFleet::RunFor(Duration duration) {
  this->scheduler.RunFor(duration);
}

std::vector<size_t> UsageFleet::ProxiesOf(size_t zone) const {
  std::vector<size_t> proxies;
  for (size_t proxy = 0; proxy < this->nodes.size(); ++proxy) {
    if (this->ZoneOf(proxy) == zone)
      proxies.push_back(proxy);
  }
  return proxies;
}

std::vector<size_t> UsageFleet::AllProxies() const {
  std::vector<size_t> proxies;
  for (size_t proxy = 0; proxy < this->nodes.size(); ++proxy)
    proxies.push_back(proxy);
  return proxies;
}

size_t UsageFleet::HolderOf(const std::string& customer) const {
  for (const auto& node : this->nodes) {
    if (!node->is_running())
      continue;
    // A process that has not read the membership knows of no holder.
    const std::string& holder = node->usage->HolderOf(CustomerName{customer});
    if (!holder.empty())
      return std::stoul(holder);
  }
  return 0;
}

void UsageFleet::Kill(size_t proxy,
                      std::optional<Duration> down,
                      Duration detection) {
  Node& node = *this->nodes.at(proxy);
  if (!node.is_running())
    return;
  node.Stop();
  const std::string incarnation = node.incarnation;
  this->scheduler.PostAfter(detection, [this, proxy, incarnation] {
    const Node& killed = *this->nodes.at(proxy);
    if (!killed.is_running() && killed.incarnation == incarnation)
      this->registered.erase(proxy);
  });
  if (!down)
    return;
  this->scheduler.PostAfter(*down, [this, proxy, incarnation] {
    Node& restarted = *this->nodes.at(proxy);
    if (restarted.is_running() || restarted.incarnation != incarnation)
      return;
    this->Start(proxy);
    restarted.scheduler->PostAfter(
        duration_cast<Duration>(kMaximumRegisterDelay * this->RandomShare()),
        [this, proxy] { this->registered.insert(proxy); });
  });
}

void UsageFleet::Restart(size_t proxy, Duration down) {
  this->registered.erase(proxy);
  this->Kill(proxy, down);
}

void UsageFleet::Freeze(size_t proxy, Duration duration) {
  Node& node = *this->nodes.at(proxy);
  if (!node.is_running())
    return;
  node.frozen_until = this->scheduler.Now() + duration;
  node.scheduler->FreezeUntil(node.frozen_until);
}

void UsageFleet::Cut(const std::set<size_t>& isolated, Duration duration) {
  this->isolated = isolated;
  this->cut_until = this->scheduler.Now() + duration;
}

void UsageFleet::AddProxy() {
  const size_t proxy = this->nodes.size();
  this->nodes.push_back(std::make_unique<Node>());
  this->Start(proxy);
  this->nodes.at(proxy)->scheduler->PostAfter(
      milliseconds(300), [this, proxy] { this->registered.insert(proxy); });
}

void UsageFleet::ClearAdmitted() {
  for (auto& [customer, times] : this->admitted_at)
    times.clear();
}

void UsageFleet::ClearTotals() {
  for (auto& [customer, totals] : this->totals_by_customer)
    totals = Totals{};
}

uint64_t UsageFleet::MaximumInWindow(const std::string& customer) const {
  const std::vector<TimePoint>& times = this->admitted_at.at(customer);
  size_t maximum = 0;
  size_t first = 0;
  for (size_t last = 0; last < times.size(); ++last) {
    while (times.at(last) - times.at(first) >= std::chrono::seconds(5))
      ++first;
    maximum = std::max(maximum, last - first + 1);
  }
  return maximum;
}

}  // namespace kingcupmill
