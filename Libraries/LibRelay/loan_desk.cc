#include "LibRelay/loan_desk.h"

#include <utility>

#include "LibDispatch/target_view.h"
#include "LibLink/target_link.h"

namespace kingcupmill {

namespace {

// A loan without a message for this long is taken back. Transactions pause, and
// the users' limit on an idle one is 3 s.
constexpr Duration kLongestSilence = std::chrono::milliseconds(3500);
// Connections that a proxy lends at a time; the rest is for its own callers.
constexpr size_t kMaximumLoans = 32;
constexpr Duration kResetTimeout = std::chrono::milliseconds(150);

}  // namespace

struct LoanDesk::Loan {
  std::shared_ptr<TargetView> target;
  std::shared_ptr<TargetLink> link;
  GroupDispatcher* group = nullptr;
  Scheduler::TimerId timer = 0;
  bool is_running = false;
  uint64_t next_sequence = 0;
};

LoanDesk::LoanDesk(Scheduler& scheduler, FindGroup find_group)
    : scheduler(scheduler), find_group(std::move(find_group)) {}

LoanDesk::~LoanDesk() = default;

void LoanDesk::Handle(const BorrowQuery& query,
                      const PeerLinks::Answer& answer) {
  GroupDispatcher* group = this->find_group(query.group);
  if (!group || this->loans.size() >= kMaximumLoans ||
      this->loans.contains(query.loan))
    return answer(BorrowAnswer{});
  auto loan = std::make_shared<Loan>();
  loan->group = group;
  if (!group->Lend(query.target, loan->target, loan->link))
    return answer(BorrowAnswer{});
  this->loans.emplace(query.loan, loan);
  this->RestartTimer(query.loan, loan);
  // The borrower starts from a session without values and statements.
  loan->link->Reset(
      kResetTimeout,
      this->life.Wrap([this, name = query.loan,
                       answer](const std::optional<StatementAnswer>& reset) {
        this->DidReset(name, reset && !reset->error, answer);
      }));
}

void LoanDesk::DidReset(const std::string& name,
                        bool is_clean,
                        const PeerLinks::Answer& answer) {
  const auto found = this->loans.find(name);
  if (found == this->loans.end() || !is_clean) {
    this->End(name);
    return answer(BorrowAnswer{});
  }
  answer(BorrowAnswer{true, found->second->target->last_point});
}

void LoanDesk::Handle(const RelayQuery& query,
                      const PeerLinks::Answer& answer) {
  const auto found = this->loans.find(query.loan);
  const bool is_usable = found != this->loans.end() &&
                         found->second->link->is_open() &&
                         found->second->next_sequence == query.sequence;
  if (!is_usable) {
    this->End(query.loan);
    return answer(RelayAnswer{true, {}});
  }
  const LoanPointer loan = found->second;
  ++loan->next_sequence;
  loan->is_running = true;
  this->RestartTimer(query.loan, loan);
  loan->link->Relay(
      query.commands, query.timeout,
      this->life.Wrap([this, name = query.loan, loan, answer](
                          std::optional<std::vector<StatementAnswer>> answers) {
        loan->is_running = false;
        if (!answers) {
          this->End(name);
          return answer(RelayAnswer{true, {}});
        }
        answer(RelayAnswer{false, std::move(*answers)});
      }));
}

void LoanDesk::Handle(const ReturnQuery& query,
                      const PeerLinks::Answer& answer) {
  this->End(query.loan);
  answer(ReturnAnswer{});
}

void LoanDesk::RestartTimer(const std::string& name, const LoanPointer& loan) {
  if (loan->timer != 0)
    this->scheduler.Cancel(loan->timer);
  loan->timer = this->scheduler.PostAfter(
      kLongestSilence, this->life.Wrap([this, name] { this->End(name); }));
}

void LoanDesk::End(const std::string& name) {
  auto ended = this->loans.extract(name);
  if (ended.empty())
    return;
  const LoanPointer loan = ended.mapped();
  this->scheduler.Cancel(loan->timer);
  // Nobody is left to say what an unanswered command was for.
  if (loan->is_running)
    loan->link->Close();
  loan->group->TakeBack(loan->target, loan->link);
}

}  // namespace kingcupmill
