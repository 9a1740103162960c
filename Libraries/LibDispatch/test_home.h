#ifndef LIBDISPATCH_TEST_HOME_H_
#define LIBDISPATCH_TEST_HOME_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "LibCore/virtual_scheduler.h"
#include "LibDispatch/event_log.h"
#include "LibDispatch/group_dispatcher.h"
#include "LibLink/fake_dialer.h"
#include "LibPrimary/primary_leases.h"

namespace kingcupmill {

// A home of one group with a primary and replicas that exist only in memory.
class TestHome {
 public:
  enum class Kind { kRead, kWrite, kTransaction };

  // A home may have `limit` connections to each of `target_count` targets; the
  // first target is the primary.
  TestHome(size_t limit, size_t target_count) {
    this->scheduler.RunFor(std::chrono::seconds(100));
    const auto answer_command = [](const TargetName&,
                                   const TargetCommand& command) {
      StatementAnswer answer;
      answer.position = LogPoint{Term{1}, Position{1}};
      if (command.kind == TargetCommandKind::kBegin)
        answer.state = SessionState::kInTransaction;
      return answer;
    };
    for (FakeDialer* dialer : {&this->own_dialer, &this->borrowed_dialer}) {
      dialer->command_time = std::chrono::milliseconds(8);
      dialer->answer_command = answer_command;
    }
    std::vector<TargetEntry> entries(target_count);
    for (size_t index = 0; index < target_count; ++index) {
      entries.at(index).name = Target(index);
      entries.at(index).group = group();
      entries.at(index).slots = 4;
    }
    this->dispatcher.SetTargets(entries, limit, 6);
    this->RunFor(std::chrono::seconds(1));
  }

  static const GroupName& group() {
    static const GroupName name{"orders"};
    return name;
  }
  static TargetName Target(size_t index) {
    return TargetName{"target-" + std::to_string(index)};
  }

  void RunFor(Duration duration) {
    const TimePoint end = this->scheduler.Now() + duration;
    while (this->scheduler.Now() < end) {
      PrimaryRecord record;
      record.group = group();
      record.term = Term{1};
      record.primary = Target(0);
      record.version = 1;
      const TimePoint now = this->scheduler.Now();
      this->leases.DidRead({&record, 1}, now, {group()}, now);
      this->dispatcher.Tick();
      this->scheduler.RunFor(
          std::min<Duration>(std::chrono::milliseconds(20), end - now));
    }
  }

  // The text of the statement names the customer that it must run for.
  void Submit(const CustomerName& customer, Kind kind) {
    DispatchRequest request;
    request.route.group = group();
    request.route.kind = RouteKind::kBoundedStale;
    request.route.maximum_staleness = std::chrono::seconds(5);
    request.route.target_latency = std::chrono::milliseconds(250);
    request.customer = customer;
    request.command.kind = kind == Kind::kTransaction
                               ? TargetCommandKind::kBegin
                               : TargetCommandKind::kStatement;
    request.command.text = "for " + customer.value;
    request.is_write = kind == Kind::kWrite;
    request.opens_transaction = kind == Kind::kTransaction;
    request.needs_primary = kind != Kind::kRead;
    request.session_context = std::make_shared<SessionContext>();
    request.received_at = this->scheduler.Now();
    this->dispatcher.Submit(std::move(request), [this, customer](
                                                    DispatchOutcome outcome) {
      if (outcome.answer.error)
        ++this->refused_by_customer[customer];
      else
        ++this->answered_by_customer[customer];
      if (!outcome.transaction)
        return;
      TargetCommand command;
      command.kind = TargetCommandKind::kStatement;
      command.text = "for " + customer.value;
      std::shared_ptr<CallerTransaction> transaction =
          std::move(outcome.transaction);
      transaction->Run(SessionContext(), command, TransactionStep::kWrite,
                       [this, transaction](const StatementAnswer&) {
                         // Ends when the last reference is dropped.
                         this->scheduler.PostAfter(
                             std::chrono::milliseconds(30), [transaction] {});
                       });
    });
  }

  // Returns how many statements ran on a connection of their customer.
  size_t CountOwnStatements() const { return this->CountStatements(true); }
  // Returns how many ran on a connection of another customer.
  size_t CountForeignStatements() const { return this->CountStatements(false); }

  VirtualScheduler scheduler;
  FakeDialer own_dialer{scheduler};
  FakeDialer borrowed_dialer{scheduler};
  EventLog event_log{scheduler};
  PrimaryLeases leases{std::chrono::seconds(2), std::chrono::seconds(7)};
  std::map<CustomerName, int> answered_by_customer;
  std::map<CustomerName, int> refused_by_customer;
  GroupDispatcher dispatcher{scheduler,
                             TargetDialers{own_dialer, borrowed_dialer},
                             leases,
                             event_log,
                             group(),
                             PlaceName{"accra-a"},
                             std::chrono::seconds(10)};

 private:
  size_t CountStatements(bool is_own) const {
    size_t count = 0;
    for (const FakeDialer* dialer :
         {&this->own_dialer, &this->borrowed_dialer}) {
      for (const FakeDialer::Received& received : dialer->received) {
        const std::string& text = received.command.text;
        if (!text.empty() &&
            (text == "for " + received.customer.value) == is_own)
          ++count;
      }
    }
    return count;
  }
};

}  // namespace kingcupmill

#endif  // LIBDISPATCH_TEST_HOME_H_
