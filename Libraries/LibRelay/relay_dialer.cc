#include "LibRelay/relay_dialer.h"

#include <algorithm>
#include <utility>

#include "LibCore/life_guard.h"

namespace kingcupmill {

namespace {

// A proxy that refused or did not answer is passed over for this long.
constexpr Duration kRefusalMemory = std::chrono::milliseconds(250);
// A loan is a round trip between proxies and one to the target.
constexpr Duration kBorrowTimeout = std::chrono::milliseconds(200);
// Longer than any statement takes; the link above has its own limit.
constexpr Duration kRelayTimeout = std::chrono::milliseconds(2500);
constexpr Duration kReturnTimeout = std::chrono::milliseconds(500);

}  // namespace

// A lent connection, as the borrower sees it.
class RelayDialer::Channel final : public TargetChannel {
 public:
  Channel(RelayDialer& dialer,
          const TargetEndpoint& endpoint,
          LinkHandlers handlers)
      : dialer(dialer),
        target(endpoint.target),
        lender(dialer.ChooseLender(endpoint)),
        loan(dialer.loan_prefix + "." + std::to_string(dialer.next_loan++)),
        handlers(std::move(handlers)) {
    if (this->lender.empty()) {
      dialer.scheduler.Post(
          this->life.Wrap([this] { this->Fail(LinkFailure::kLost); }));
      return;
    }
    dialer.peers.Ask(
        this->lender, BorrowQuery{this->loan, endpoint.group, endpoint.target},
        kBorrowTimeout,
        this->life.Wrap([this](const std::optional<PeerAnswer>& answer) {
          this->DidBorrow(answer);
        }));
  }

  ~Channel() override { this->Close(); }

  void Send(std::span<const TargetCommand> commands) override {
    RelayQuery query;
    query.loan = this->loan;
    query.commands.assign(commands.begin(), commands.end());
    query.timeout = kRelayTimeout;
    query.sequence = this->sent_count++;
    this->dialer.peers.Ask(
        this->lender, query, kRelayTimeout,
        this->life.Wrap([this, sequence = query.sequence](
                            const std::optional<PeerAnswer>& answer) {
          this->DidRelay(sequence, answer);
        }));
  }

  void Close() override {
    this->handlers = {};
    if (!std::exchange(this->is_asked, false))
      return;
    this->dialer.peers.Ask(this->lender, ReturnQuery{this->loan},
                           kReturnTimeout, [](const auto&) {
                             // A lender that does not hear it ends the loan by
                             // itself.
                           });
  }

 private:
  void DidBorrow(const std::optional<PeerAnswer>& answer) {
    const auto* borrowed =
        answer ? std::get_if<BorrowAnswer>(&*answer) : nullptr;
    if (!borrowed || !borrowed->is_lent) {
      this->is_asked = !answer.has_value();
      this->dialer.DidRefuse(this->target, this->lender);
      return this->Fail(LinkFailure::kConnectionLimit);
    }
    const auto did_open = this->handlers.did_open;
    if (did_open)
      did_open(borrowed->position);
  }

  void DidRelay(uint64_t sequence, const std::optional<PeerAnswer>& answer) {
    const auto* relayed = answer ? std::get_if<RelayAnswer>(&*answer) : nullptr;
    // An answer that overtook another one would pass for it.
    const bool is_in_order = sequence == this->answered_count++;
    if (!relayed || relayed->is_lost || !is_in_order) {
      this->dialer.DidRefuse(this->target, this->lender);
      return this->Fail(LinkFailure::kLost);
    }
    // The receiver of one answer may end this channel.
    const auto deliver = this->life.Wrap([this](const StatementAnswer& entry) {
      const auto did_receive = this->handlers.did_receive;
      if (did_receive)
        did_receive(entry);
    });
    const std::vector<StatementAnswer> answers = relayed->answers;
    for (const StatementAnswer& entry : answers)
      deliver(entry);
  }

  void Fail(LinkFailure failure) {
    const auto did_fail = this->handlers.did_fail;
    this->Close();
    if (did_fail)
      did_fail(failure);
  }

  RelayDialer& dialer;
  TargetName target;
  std::string lender;
  std::string loan;
  LinkHandlers handlers;
  bool is_asked = true;
  uint64_t sent_count = 0;
  uint64_t answered_count = 0;
  LifeGuard life;
};

RelayDialer::RelayDialer(Scheduler& scheduler,
                         PeerLinks& peers,
                         Lenders lenders,
                         PlaceName place,
                         std::string loan_prefix,
                         uint64_t seed)
    : scheduler(scheduler),
      peers(peers),
      lenders(std::move(lenders)),
      place(std::move(place)),
      loan_prefix(std::move(loan_prefix)),
      random(seed) {}

std::unique_ptr<TargetChannel> RelayDialer::Dial(const TargetEndpoint& endpoint,
                                                 LinkHandlers handlers) {
  return std::make_unique<Channel>(*this, endpoint, std::move(handlers));
}

std::string RelayDialer::ChooseLender(const TargetEndpoint& endpoint) {
  const TimePoint now = this->scheduler.Now();
  std::erase_if(this->refused_at, [&](const auto& refusal) {
    return now - refusal.second >= kRefusalMemory;
  });
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const Lender& lender : this->lenders(endpoint.group)) {
    if (this->refused_at.contains({endpoint.target, lender.address}))
      continue;
    (lender.place == this->place ? near : far).push_back(lender.address);
  }
  // Those in the same place share the fate of this proxy's own path, so the
  // choice is not theirs alone.
  const bool use_near =
      !near.empty() && (far.empty() || this->random.Below(2) == 0);
  const std::vector<std::string>& chosen = use_near ? near : far;
  if (chosen.empty())
    return "";
  return chosen[this->random.Below(chosen.size())];
}

void RelayDialer::DidRefuse(const TargetName& target,
                            const std::string& lender) {
  this->refused_at[{target, lender}] = this->scheduler.Now();
}

}  // namespace kingcupmill
