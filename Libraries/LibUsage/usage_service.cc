#include "LibUsage/usage_service.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <set>
#include <utility>

namespace kingcupmill {

namespace {

// A link is dropped, with the statements forwarded over it, when a query on it
// is not answered in time. The budget gives up a query earlier than that.
constexpr Duration kLinkTimeout = std::chrono::milliseconds(1000);
// How many members of its own place a proxy tries as the pool.
constexpr size_t kPoolsInPlace = 2;
// The tokens in a pool are dropped after this time without a deposit.
constexpr Duration kPoolLifetime = std::chrono::milliseconds(1000);
// Waits are short, so their deadlines are checked often while there are any.
constexpr Duration kWaitingTickInterval = std::chrono::milliseconds(5);
constexpr Duration kActiveTickInterval = std::chrono::milliseconds(25);
// Refused callers are told to return after this at least and at most.
constexpr Duration kMinimumReturnDelay = std::chrono::milliseconds(50);
constexpr Duration kMaximumReturnDelay = std::chrono::milliseconds(2000);
// This many other processes that have just started, and none that runs for
// longer, show that the whole system has restarted.
constexpr size_t kYoungMembersForRestart = 4;

uint64_t HashOf(const std::string& text) {
  return XXH64(text.data(), text.size(), 0);
}

uint64_t ScoreOf(uint64_t customer, uint64_t member) {
  const std::array<uint64_t, 2> hashes = {customer, member};
  return XXH64(hashes.data(), sizeof(hashes), 0);
}

}  // namespace

UsageService::UsageService(Context context)
    : context(std::move(context)),
      random(this->context.random_seed),
      started_at(this->context.scheduler.Now()) {}

void UsageService::SetCustomers(const CustomerTable& table) {
  const TimePoint now = this->context.scheduler.Now();
  std::vector<Waiter> unlimited;
  for (auto entry = this->customers.begin(); entry != this->customers.end();) {
    const CustomerDeclaration* declaration = table.Find(entry->first);
    if (declaration && declaration->usage_limit) {
      ++entry;
      continue;
    }
    for (Waiter& waiter : entry->second.waiters)
      unlimited.push_back(std::move(waiter));
    entry = this->customers.erase(entry);
  }
  for (const auto& [name, declaration] : table.declarations()) {
    if (!declaration.usage_limit)
      continue;
    const auto [found, is_new] =
        this->customers.try_emplace(name, *declaration.usage_limit);
    Customer& customer = found->second;
    if (is_new) {
      customer.hash = HashOf(name.value);
      this->ChooseHolder(name, customer);
      continue;
    }
    if (customer.limit == *declaration.usage_limit)
      continue;
    customer.limit = *declaration.usage_limit;
    if (customer.account)
      customer.account->SetLimit(customer.limit, now);
    if (customer.budget)
      customer.budget->SetLimit(customer.limit, now);
  }
  for (Waiter& waiter : unlimited) {
    // A callback may cancel the others.
    if (this->customer_by_wait.erase(waiter.number) > 0)
      waiter.did_decide(UsageToken{});
  }
}

void UsageService::SetMembers(const std::vector<Member>& members) {
  const TimePoint now = this->context.scheduler.Now();
  this->Tick();
  bool is_changed =
      !this->members_set_at || members.size() != this->members.size();
  for (size_t index = 0; index < members.size(); ++index) {
    const Member& member = members.at(index);
    if (index >= this->members.size() ||
        this->members.at(index).address != member.address)
      is_changed = true;
    else if (this->members.at(index).incarnation != member.incarnation)
      this->start_by_address[member.address] = now;
  }
  this->members = members;
  if (!is_changed)
    return;
  this->member_hashes.clear();
  for (const Member& member : members)
    this->member_hashes.push_back(HashOf(member.address));
  const bool is_first = !this->members_set_at;
  if (is_first) {
    this->members_set_at = now;
    this->last_members_read_at = this->context.members_read_at();
  }
  this->members_changed_at = now;
  for (auto& [name, customer] : this->customers) {
    const std::string previous = customer.holder;
    this->ChooseHolder(name, customer);
    if (customer.holder != previous && customer.budget)
      this->QueryIfDue(name, customer);
  }
}

void UsageService::Tick() {
  if (!this->members_set_at)
    return;
  // While this copy was old, another member may have become the holder of an
  // account and ceased to be it again.
  const TimePoint read_at = this->context.members_read_at();
  const bool was_old =
      read_at - this->last_members_read_at > UsageTerms::kMaximumMembersAge;
  this->last_members_read_at = read_at;
  if (!was_old)
    return;
  const TimePoint now = this->context.scheduler.Now();
  this->members_changed_at = now;
  for (auto& [name, customer] : this->customers) {
    if (customer.account)
      this->StartAccount(name, customer, now, now + UsageTerms::kTakeoverWait);
  }
}

void UsageService::ChooseHolder(const CustomerName& name, Customer& customer) {
  const Member* best = nullptr;
  const Member* second = nullptr;
  uint64_t best_score = 0;
  uint64_t second_score = 0;
  for (size_t index = 0; index < this->members.size(); ++index) {
    const Member& member = this->members.at(index);
    const uint64_t score =
        ScoreOf(customer.hash, this->member_hashes.at(index));
    if (!best || score > best_score) {
      second = std::exchange(best, &member);
      second_score = std::exchange(best_score, score);
    } else if (!second || score > second_score) {
      second = &member;
      second_score = score;
    }
  }
  customer.holder = best ? best->address : std::string();
  customer.first_pool = second ? second->address : std::string();
  customer.pool_address.clear();
  customer.lost_pools = 0;
  const bool is_holder = best && best->address == this->context.address;
  if (!is_holder && customer.account) {
    customer.account.reset();
    this->context.event_log.Write(
        EventLog::Kind::kStateChange,
        "event=usage_holder customer={} is_holder=false holder={}", name.value,
        customer.holder);
  }
  if (!is_holder || customer.account)
    return;
  // In the membership that this process reads first, an earlier process at
  // this address was the holder; it is gone. After any later change, another
  // process may still grant.
  const bool is_first = this->members_changed_at == *this->members_set_at;
  this->StartAccount(
      name, customer, this->members_changed_at,
      is_first ? this->members_changed_at
               : this->members_changed_at + UsageTerms::kTakeoverWait);
}

void UsageService::StartAccount(const CustomerName& name,
                                Customer& customer,
                                TimePoint became_holder_at,
                                TimePoint granting_from) {
  const TimePoint now = this->context.scheduler.Now();
  customer.account = std::make_unique<UsageAccount>(
      customer.limit, became_holder_at, granting_from, now);
  this->context.event_log.Write(
      EventLog::Kind::kStateChange,
      "event=usage_holder customer={} is_holder=true grants_in_ms={}",
      name.value, ToMilliseconds(std::max(granting_from - now, Duration(0))));
}

UsageBudget& UsageService::BudgetOf(Customer& customer) {
  if (!customer.budget) {
    customer.budget = std::make_unique<UsageBudget>(
        customer.limit, this->context.scheduler.Now());
    this->ScheduleTick(kActiveTickInterval);
  }
  return *customer.budget;
}

std::optional<UsageDecision> UsageService::Decide(const CustomerName& name,
                                                  Duration limit) {
  Customer& customer = this->customers.at(name);
  UsageBudget& budget = this->BudgetOf(customer);
  const TimePoint now = this->context.scheduler.Now();
  // Operations that wait come first.
  if (customer.waiters.empty()) {
    if (const auto token = budget.Take(now)) {
      this->QueryIfDue(name, customer);
      return *token;
    }
    // The answer comes at once if this proxy is the holder.
    if (budget.should_ask(1, now))
      this->Query(name, customer, 1);
    if (const auto token = budget.Take(now))
      return *token;
    if (budget.should_pool(1, now))
      this->Pool(name, customer, 1);
    if (const auto token = budget.Take(now))
      return *token;
  }
  if (customer.holder.empty() ||
      budget.is_hopeless(customer.waiters.size(), limit, now))
    return this->Refuse(name, customer);
  return std::nullopt;
}

UsageService::WaitNumber UsageService::Wait(const CustomerName& name,
                                            Duration limit,
                                            DidDecide did_decide) {
  Customer& customer = this->customers.at(name);
  const WaitNumber number = this->next_wait++;
  customer.waiters.push_back(Waiter{
      number, this->context.scheduler.Now() + limit, std::move(did_decide)});
  this->customer_by_wait.emplace(number, name);
  this->ScheduleTick(kWaitingTickInterval);
  return number;
}

void UsageService::CancelWait(WaitNumber number) {
  const auto found = this->customer_by_wait.find(number);
  if (found == this->customer_by_wait.end())
    return;
  // The customer's limit may just have been removed.
  const auto customer = this->customers.find(found->second);
  if (customer != this->customers.end())
    std::erase_if(customer->second.waiters, [number](const Waiter& waiter) {
      return waiter.number == number;
    });
  this->customer_by_wait.erase(found);
}

void UsageService::Return(const CustomerName& name, const UsageToken& token) {
  const auto found = this->customers.find(name);
  if (found == this->customers.end() || !found->second.budget)
    return;
  found->second.budget->Return(token, this->context.scheduler.Now());
}

void UsageService::QueryIfDue(const CustomerName& name, Customer& customer) {
  const size_t waiting = customer.waiters.size();
  if (customer.budget->should_ask(waiting, this->context.scheduler.Now()))
    this->Query(name, customer, waiting);
}

void UsageService::Query(const CustomerName& name,
                         Customer& customer,
                         size_t waiting) {
  const TimePoint now = this->context.scheduler.Now();
  UsageQuery query = customer.budget->StartQuery(waiting, now);
  if (customer.holder.empty())
    return customer.budget->DidLoseAnswer(now);
  query.customer = name;
  query.proxy = this->context.address;
  query.process_age = now - this->started_at;
  if (customer.holder == this->context.address)
    return customer.budget->DidReceive(this->Answer(query), now);
  this->context.peers.Ask(
      customer.holder, query, kLinkTimeout,
      this->life.Wrap([this, name, number = customer.budget->query_number()](
                          const std::optional<PeerAnswer>& answer) {
        this->DidReceive(name, number, answer);
      }));
}

void UsageService::DidReceive(const CustomerName& name,
                              uint64_t number,
                              const std::optional<PeerAnswer>& answer) {
  const auto found = this->customers.find(name);
  if (found == this->customers.end())
    return;
  Customer& customer = found->second;
  if (!customer.budget || !customer.budget->has_query() ||
      customer.budget->query_number() != number)
    return;
  const TimePoint now = this->context.scheduler.Now();
  const auto* usage = answer ? std::get_if<UsageAnswer>(&*answer) : nullptr;
  if (usage)
    customer.budget->DidReceive(*usage, now);
  else
    customer.budget->DidLoseAnswer(now);
  this->ServeWaiters(name, customer);
}

void UsageService::ServeWaiters(const CustomerName& name, Customer& customer) {
  const TimePoint now = this->context.scheduler.Now();
  // A callback may submit further operations, or cancel some.
  while (!customer.waiters.empty()) {
    const auto token = customer.budget->Take(now);
    if (!token && customer.waiters.front().deadline > now &&
        !customer.budget->is_hopeless(
            0, customer.waiters.front().deadline - now, now))
      break;
    const Waiter waiter = std::move(customer.waiters.front());
    customer.waiters.pop_front();
    this->customer_by_wait.erase(waiter.number);
    if (token)
      waiter.did_decide(*token);
    else
      waiter.did_decide(this->Refuse(name, customer));
  }
  this->QueryIfDue(name, customer);
  this->PoolIfDue(name, customer);
}

void UsageService::PoolIfDue(const CustomerName& name, Customer& customer) {
  const size_t waiting = customer.waiters.size();
  if (customer.budget->should_pool(waiting, this->context.scheduler.Now()))
    this->Pool(name, customer, waiting);
}

void UsageService::Pool(const CustomerName& name,
                        Customer& customer,
                        size_t waiting) {
  if (customer.budget->is_pool_lost()) {
    customer.pool_address.clear();
    ++customer.lost_pools;
  }
  if (customer.pool_address.empty())
    this->ChoosePool(customer);
  const TimePoint now = this->context.scheduler.Now();
  UsagePoolQuery query = customer.budget->StartPoolQuery(waiting, now);
  query.customer = name;
  if (customer.pool_address == this->context.address)
    return customer.budget->DidReceivePool(this->AnswerPool(query), now);
  this->context.peers.Ask(
      customer.pool_address, query, kLinkTimeout,
      this->life.Wrap(
          [this, name, number = customer.budget->pool_query_number()](
              const std::optional<PeerAnswer>& answer) {
            this->DidReceivePool(name, number, answer);
          }));
}

void UsageService::DidReceivePool(const CustomerName& name,
                                  uint64_t number,
                                  const std::optional<PeerAnswer>& answer) {
  const auto found = this->customers.find(name);
  if (found == this->customers.end())
    return;
  Customer& customer = found->second;
  if (!customer.budget || !customer.budget->has_pool_query() ||
      customer.budget->pool_query_number() != number)
    return;
  const TimePoint now = this->context.scheduler.Now();
  const auto* pool = answer ? std::get_if<UsagePoolAnswer>(&*answer) : nullptr;
  if (pool)
    customer.budget->DidReceivePool(*pool, now);
  else
    customer.budget->DidLosePool(now);
  this->ServeWaiters(name, customer);
}

void UsageService::ChoosePool(Customer& customer) const {
  // One pool for all serves best when only the holder is lost. When this place
  // is cut off, one in the place is needed.
  std::vector<std::pair<uint64_t, const std::string*>> own_place;
  for (size_t index = 0; index < this->members.size(); ++index) {
    const Member& member = this->members.at(index);
    if (member.place == this->context.place &&
        member.address != customer.holder &&
        member.address != customer.first_pool)
      own_place.emplace_back(
          ScoreOf(customer.hash, this->member_hashes.at(index)),
          &member.address);
  }
  std::sort(own_place.begin(), own_place.end(), std::greater<>());
  const size_t choices = 1 + std::min(own_place.size(), kPoolsInPlace);
  const size_t choice = customer.lost_pools % choices;
  customer.pool_address =
      choice == 0 ? customer.first_pool : *own_place.at(choice - 1).second;
  if (customer.pool_address.empty())
    customer.pool_address = this->context.address;
}

UsagePoolAnswer UsageService::AnswerPool(const UsagePoolQuery& query) {
  UsagePoolAnswer answer;
  const auto found = this->customers.find(query.customer);
  if (found == this->customers.end())
    return answer;
  Customer& customer = found->second;
  const TimePoint now = this->context.scheduler.Now();
  if (now - customer.pool_deposit_at > kPoolLifetime)
    customer.pool = 0;
  customer.pool_deposit_at = now;
  std::set<PlaceName> places;
  for (const Member& member : this->members)
    places.insert(member.place);
  // Half of the room is for the pool of all proxies, and half for those of the
  // places.
  double room = UsageTerms(customer.limit).pool_room / 2;
  if (customer.first_pool != this->context.address)
    room /= static_cast<double>(std::max<size_t>(places.size(), 1));
  room = std::max(room, 1.0);
  customer.pool = std::min(customer.pool + query.deposit, room);
  answer.granted = std::min(query.wanted, static_cast<uint64_t>(customer.pool));
  customer.pool -= static_cast<double>(answer.granted);
  return answer;
}

UsageRefusal UsageService::Refuse(const CustomerName& name,
                                  Customer& customer) {
  const TimePoint now = this->context.scheduler.Now();
  UsageRefusal refusal;
  refusal.is_limit_unknown = !customer.budget->knows_holder(now);
  ++(refusal.is_limit_unknown ? this->refused_unknown
                              : this->refused_over_limit);
  // Each caller is told to return after the one before it, at the rate at
  // which this proxy gets tokens.
  const double share =
      customer.limit.rate /
      static_cast<double>(std::max<size_t>(this->members.size(), 1));
  const double rate = std::max({customer.budget->UsedRate(now), share, 0.5});
  const auto interval =
      duration_cast<Duration>(std::chrono::duration<double>(1 / rate));
  const TimePoint next =
      std::max(customer.last_return_at, now + kMinimumReturnDelay) + interval;
  customer.last_return_at = std::min(next, now + kMaximumReturnDelay);
  refusal.retry_after = customer.last_return_at - now;
  // Once the times have reached their maximum, they are spread at random.
  if (next > now + kMaximumReturnDelay) {
    const auto half = static_cast<uint64_t>(kMaximumReturnDelay.count() / 2);
    refusal.retry_after -=
        Duration(static_cast<int64_t>(this->random.Below(half)));
  }
  this->context.event_log.Write(
      EventLog::Kind::kRefused,
      "event=usage_refused customer={} reason={} retry_after_ms={}", name.value,
      refusal.is_limit_unknown ? "unknown" : "over_limit",
      ToMilliseconds(refusal.retry_after));
  return refusal;
}

void UsageService::Handle(const UsageQuery& query,
                          const PeerLinks::SendAnswer& send_answer) {
  const TimePoint now = this->context.scheduler.Now();
  this->start_by_address[query.proxy] = now - query.process_age;
  send_answer(this->Answer(query));
}

void UsageService::Handle(const UsagePoolQuery& query,
                          const PeerLinks::SendAnswer& send_answer) {
  send_answer(this->AnswerPool(query));
}

UsageAnswer UsageService::Answer(const UsageQuery& query) {
  const TimePoint now = this->context.scheduler.Now();
  const auto found = this->customers.find(query.customer);
  if (found == this->customers.end() || !found->second.account ||
      now - this->context.members_read_at() > UsageTerms::kMaximumMembersAge)
    return UsageAnswer{};
  UsageAccount& account = *found->second.account;
  const double known_share =
      account.may_have_unknown_rates(now) ? this->KnownShare(account) : 1;
  const UsageAnswer answer = account.Answer(query, known_share, now);
  this->granted += answer.granted;
  return answer;
}

double UsageService::KnownShare(const UsageAccount& account) const {
  const TimePoint now = this->context.scheduler.Now();
  size_t others = 0;
  size_t known = 0;
  size_t young = 0;
  bool has_old = false;
  for (const Member& member : this->members) {
    if (member.address == this->context.address)
      continue;
    ++others;
    const auto start = this->start_by_address.find(member.address);
    const bool is_started = start != this->start_by_address.end();
    // A young process holds no rates from before its start.
    const bool is_young =
        is_started && now - start->second < UsageTerms::kOfflineLifetime;
    young += is_young ? 1 : 0;
    has_old = has_old || (is_started && !is_young);
    known += is_young || account.has_heard_from(member.address) ? 1 : 0;
  }
  if (others == 0)
    return 1;
  if (!has_old && young >= std::min(others, kYoungMembersForRestart))
    return 1;
  // Rates may be unevenly spread: a part of the members that is cut off may
  // hold all of them. A large unknown part therefore counts for more than its
  // share.
  return std::pow(static_cast<double>(known) / static_cast<double>(others), 4);
}

void UsageService::ScheduleTick(Duration delay) {
  const TimePoint at = this->context.scheduler.Now() + delay;
  if (this->tick_at && *this->tick_at <= at)
    return;
  if (this->tick_at)
    this->context.scheduler.Cancel(this->tick_timer);
  this->tick_at = at;
  this->tick_timer = this->context.scheduler.PostAfter(
      delay, this->life.Wrap([this] { this->RunTick(); }));
}

void UsageService::RunTick() {
  this->tick_at.reset();
  const TimePoint now = this->context.scheduler.Now();
  std::optional<Duration> next;
  for (auto& [name, customer] : this->customers) {
    if (!customer.budget)
      continue;
    customer.budget->Refresh(now);
    this->ServeWaiters(name, customer);
    if (customer.waiters.empty() && customer.budget->is_idle(now)) {
      customer.budget.reset();
      continue;
    }
    const Duration interval =
        customer.waiters.empty() ? kActiveTickInterval : kWaitingTickInterval;
    next = next ? std::min(*next, interval) : interval;
  }
  if (next)
    this->ScheduleTick(*next);
}

std::string UsageService::FormatMetrics() const {
  if (!this->is_active())
    return std::string();
  size_t offline = 0;
  size_t accounts = 0;
  for (const auto& [name, customer] : this->customers) {
    offline += customer.budget && customer.budget->is_offline() ? 1 : 0;
    accounts += customer.account ? 1 : 0;
  }
  return fmt::format(
      "# TYPE kingcupmill_usage_refused_total counter\n"
      "kingcupmill_usage_refused_total{{reason=\"over_limit\"}} {}\n"
      "kingcupmill_usage_refused_total{{reason=\"unknown\"}} {}\n"
      "# TYPE kingcupmill_usage_granted_total counter\n"
      "kingcupmill_usage_granted_total {}\n"
      "kingcupmill_usage_offline {}\n"
      "kingcupmill_usage_accounts {}\n",
      this->refused_over_limit, this->refused_unknown, this->granted, offline,
      accounts);
}

}  // namespace kingcupmill
