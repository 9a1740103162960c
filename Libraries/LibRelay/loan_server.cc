#include "LibRelay/loan_server.h"

#include <utility>

#include "LibDispatch/target_view.h"
#include "LibLink/pooled_connection.h"

namespace kingcupmill {

namespace {

// A loan without a message for this long is ended. A transaction keeps its
// borrowed connection while it is idle, for which callers have a limit of 3 s.
constexpr Duration kLoanIdleTimeout = std::chrono::milliseconds(3500);
// The number of connections that a proxy lends at a time; the others are kept
// for its own callers.
constexpr size_t kMaximumLoans = 32;
constexpr Duration kResetTimeout = std::chrono::milliseconds(150);
// A loan for a customer waits this often and long for a connection that is
// being opened for it, in all twice as long as a target takes to accept one. A
// refusal would make the borrower ask another proxy, which has none either.
constexpr int kOpeningAttempts = 6;
constexpr Duration kOpeningPause = std::chrono::milliseconds(5);

}  // namespace

struct LoanServer::Loan {
  std::shared_ptr<TargetView> target;
  std::shared_ptr<PooledConnection> connection;
  GroupDispatcher* group = nullptr;
  Scheduler::TimerId timer = 0;
  bool is_running = false;
  uint64_t next_sequence = 0;
};

LoanServer::LoanServer(Scheduler& scheduler, FindGroup find_group)
    : scheduler(scheduler), find_group(std::move(find_group)) {}

LoanServer::~LoanServer() = default;

void LoanServer::Handle(const BorrowQuery& query,
                        const PeerLinks::SendAnswer& send_answer) {
  if (this->loan_by_name.contains(query.loan) ||
      this->waiting_loans.contains(query.loan))
    return send_answer(BorrowAnswer{});
  this->Lend(query, send_answer, kOpeningAttempts);
}

void LoanServer::Lend(const BorrowQuery& query,
                      const PeerLinks::SendAnswer& send_answer,
                      int attempts_left) {
  GroupDispatcher* group = this->find_group(query.group);
  if (!group ||
      this->loan_by_name.size() + this->waiting_loans.size() >= kMaximumLoans)
    return send_answer(BorrowAnswer{});
  auto loan = std::make_shared<Loan>();
  loan->group = group;
  const GroupDispatcher::LendResult result = group->LendConnection(
      query.target, query.customer, loan->target, loan->connection);
  const bool is_worth_waiting =
      result == GroupDispatcher::LendResult::kOpening &&
      !query.customer.value.empty() && attempts_left > 0;
  if (is_worth_waiting) {
    this->waiting_loans.insert(query.loan);
    this->scheduler.PostAfter(
        kOpeningPause,
        this->life.Wrap([this, query, send_answer, attempts_left] {
          // The borrower may have given up.
          if (this->waiting_loans.erase(query.loan) == 0)
            return send_answer(BorrowAnswer{});
          this->Lend(query, send_answer, attempts_left - 1);
        }));
    return;
  }
  if (result != GroupDispatcher::LendResult::kLent)
    return send_answer(BorrowAnswer{});
  this->loan_by_name.emplace(query.loan, loan);
  this->RestartTimer(query.loan, loan);
  // The borrower expects a session without values and prepared statements.
  loan->connection->Reset(
      kResetTimeout,
      this->life.Wrap([this, name = query.loan, send_answer](
                          const std::optional<StatementAnswer>& reset) {
        this->DidReset(name, reset && !reset->error, send_answer);
      }));
}

void LoanServer::DidReset(const std::string& name,
                          bool is_clean,
                          const PeerLinks::SendAnswer& send_answer) {
  const auto found = this->loan_by_name.find(name);
  if (found == this->loan_by_name.end() || !is_clean) {
    this->EndLoan(name);
    return send_answer(BorrowAnswer{});
  }
  send_answer(BorrowAnswer{true, found->second->target->last_point});
}

void LoanServer::Handle(const RelayQuery& query,
                        const PeerLinks::SendAnswer& send_answer) {
  const auto found = this->loan_by_name.find(query.loan);
  const bool is_usable = found != this->loan_by_name.end() &&
                         found->second->connection->is_open() &&
                         found->second->next_sequence == query.sequence;
  if (!is_usable) {
    this->EndLoan(query.loan);
    return send_answer(RelayAnswer{true, {}});
  }
  const LoanPointer loan = found->second;
  ++loan->next_sequence;
  loan->is_running = true;
  this->RestartTimer(query.loan, loan);
  loan->connection->Relay(
      query.commands, query.timeout,
      this->life.Wrap([this, name = query.loan, loan, send_answer](
                          std::optional<std::vector<StatementAnswer>> answers) {
        loan->is_running = false;
        if (!answers) {
          this->EndLoan(name);
          return send_answer(RelayAnswer{true, {}});
        }
        send_answer(RelayAnswer{false, std::move(*answers)});
      }));
}

void LoanServer::Handle(const ReturnQuery& query,
                        const PeerLinks::SendAnswer& send_answer) {
  this->waiting_loans.erase(query.loan);
  this->EndLoan(query.loan);
  send_answer(ReturnAnswer{});
}

void LoanServer::RestartTimer(const std::string& name,
                              const LoanPointer& loan) {
  if (loan->timer != 0)
    this->scheduler.Cancel(loan->timer);
  loan->timer = this->scheduler.PostAfter(
      kLoanIdleTimeout, this->life.Wrap([this, name] { this->EndLoan(name); }));
}

void LoanServer::EndLoan(const std::string& name) {
  auto ended = this->loan_by_name.extract(name);
  if (ended.empty())
    return;
  const LoanPointer loan = ended.mapped();
  this->scheduler.Cancel(loan->timer);
  // Without the borrower nothing is known about a command that is still
  // unanswered, so its connection is not reused.
  if (loan->is_running)
    loan->connection->Close();
  loan->group->ReclaimConnection(loan->target, loan->connection);
}

}  // namespace kingcupmill
