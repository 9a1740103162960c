#include "LibRelay/relay_dialer.h"

#include <algorithm>
#include <utility>

#include "LibCore/lifetime_guard.h"

namespace kingcupmill {

namespace {

// A proxy that refused, did not answer or lost a lent connection is not asked
// for the same target again for this long.
constexpr Duration kLenderBackoff = std::chrono::milliseconds(250);
// Borrowing takes a round trip between proxies and one to the target.
constexpr Duration kBorrowTimeout = std::chrono::milliseconds(200);
// Longer than any statement takes; the PooledConnection that uses the channel
// has a timeout of its own.
constexpr Duration kRelayTimeout = std::chrono::milliseconds(2500);
constexpr Duration kReturnTimeout = std::chrono::milliseconds(500);

}  // namespace

// The borrower's end of a lent connection.
class RelayDialer::Channel final : public TargetChannel {
 public:
  Channel(RelayDialer& dialer,
          const TargetEndpoint& endpoint,
          ChannelHandlers handlers)
      : dialer(dialer),
        target(endpoint.target),
        lender(dialer.ChooseLender(endpoint)),
        loan(dialer.loan_prefix + "." + std::to_string(dialer.next_loan++)),
        handlers(std::move(handlers)) {
    if (this->lender.empty()) {
      dialer.scheduler.Post(
          this->life.Wrap([this] { this->Fail(ConnectionFailure::kLost); }));
      return;
    }
    dialer.peers.Ask(
        this->lender,
        BorrowQuery{this->loan, endpoint.group, endpoint.target,
                    endpoint.customer},
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
    if (!std::exchange(this->may_hold_loan, false))
      return;
    this->dialer.peers.Ask(this->lender, ReturnQuery{this->loan},
                           kReturnTimeout, [](const auto&) {
                             // A lender that does not receive this ends the
                             // loan when it has been idle for too long.
                           });
  }

 private:
  void DidBorrow(const std::optional<PeerAnswer>& answer) {
    const auto* borrowed =
        answer ? std::get_if<BorrowAnswer>(&*answer) : nullptr;
    if (!borrowed || !borrowed->is_lent) {
      this->may_hold_loan = !answer.has_value();
      this->dialer.DidFailToLend(this->target, this->lender);
      return this->Fail(ConnectionFailure::kConnectionLimit);
    }
    const auto did_open = this->handlers.did_open;
    if (did_open)
      did_open(borrowed->position);
  }

  void DidRelay(uint64_t sequence, const std::optional<PeerAnswer>& answer) {
    const auto* relayed = answer ? std::get_if<RelayAnswer>(&*answer) : nullptr;
    // Answers carry no command, so one that overtook another would be taken for
    // the answer to the wrong commands.
    const bool is_in_order = sequence == this->answered_count++;
    if (!relayed || relayed->is_lost || !is_in_order) {
      this->dialer.DidFailToLend(this->target, this->lender);
      return this->Fail(ConnectionFailure::kLost);
    }
    // The receiver of an answer may destroy this channel.
    const auto deliver = this->life.Wrap([this](const StatementAnswer& entry) {
      const auto did_receive = this->handlers.did_receive;
      if (did_receive)
        did_receive(entry);
    });
    const std::vector<StatementAnswer> answers = relayed->answers;
    for (const StatementAnswer& entry : answers)
      deliver(entry);
  }

  void Fail(ConnectionFailure failure) {
    const auto did_fail = this->handlers.did_fail;
    this->Close();
    if (did_fail)
      did_fail(failure);
  }

  RelayDialer& dialer;
  TargetName target;
  std::string lender;
  std::string loan;
  ChannelHandlers handlers;
  // Whether the lender may hold a loan that has to be returned.
  bool may_hold_loan = true;
  uint64_t sent_count = 0;
  uint64_t answered_count = 0;
  LifetimeGuard life;
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
                                                 ChannelHandlers handlers) {
  return std::make_unique<Channel>(*this, endpoint, std::move(handlers));
}

std::string RelayDialer::ChooseLender(const TargetEndpoint& endpoint) {
  const TimePoint now = this->scheduler.Now();
  std::erase_if(this->failed_at, [&](const auto& failure) {
    return now - failure.second >= kLenderBackoff;
  });
  std::vector<std::string> in_same_place;
  std::vector<std::string> in_other_places;
  for (const Lender& lender : this->lenders(endpoint.group)) {
    if (this->failed_at.contains({endpoint.target, lender.address}))
      continue;
    (lender.place == this->place ? in_same_place : in_other_places)
        .push_back(lender.address);
  }
  // Lenders in the same place are likely to be affected by the network failure
  // that cuts off this proxy, so lenders in other places are chosen half of the
  // time.
  const bool use_same_place =
      !in_same_place.empty() &&
      (in_other_places.empty() || this->random.Below(2) == 0);
  const std::vector<std::string>& chosen =
      use_same_place ? in_same_place : in_other_places;
  if (chosen.empty())
    return "";
  return chosen[this->random.Below(chosen.size())];
}

void RelayDialer::DidFailToLend(const TargetName& target,
                                const std::string& lender) {
  this->failed_at[{target, lender}] = this->scheduler.Now();
}

}  // namespace kingcupmill
