#ifndef LIBEMULATOR_EMULATED_CALLER_H_
#define LIBEMULATOR_EMULATED_CALLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "LibCore/lifetime_guard.h"
#include "LibCore/random_source.h"
#include "LibCore/scheduler.h"
#include "LibDirectory/route_table.h"
#include "LibEmulator/caller_port.h"
#include "LibEmulator/consistency_checker.h"
#include "LibGateway/caller_channel.h"

namespace kingcupmill {

// One caller: opens sessions at proxies and runs random statements,
// transactions and settings. It never repeats an attempt.
class EmulatedCaller final : public CallerChannel {
 public:
  struct Counts {
    uint64_t sent = 0;
    uint64_t succeeded = 0;
    uint64_t refused = 0;
    uint64_t in_doubt = 0;
    uint64_t writes_succeeded = 0;
  };
  // How to judge a proxy that closes a session before it answers the
  // last statement.
  enum class UnansweredClose {
    // The proxy had received the statement and dropped it, which is a
    // violation.
    kViolation,
    // No violation: the proxy process may have ended, or the statement and
    // the close may have crossed on the network.
    kAllowed,
  };

  EmulatedCaller(Scheduler& scheduler,
                 ConsistencyChecker& checker,
                 OpenCallerPort open_port,
                 std::string name,
                 std::string database,
                 CallerRoute route,
                 UnansweredClose unanswered_close,
                 uint64_t seed);
  ~EmulatedCaller() override;

  // The customer that the caller belongs to, for the check at the targets.
  void SetCustomer(CustomerName name) { this->customer = std::move(name); }

  void Start();
  void Stop() { this->is_stopped = true; }
  bool has_session() const { return this->is_connected(); }
  const Counts& counts() const { return this->counted; }

  // Closes the session because the proxy's process has ended or is about to.
  void Disconnect();

  // CallerChannel:
  void Send(const StatementAnswer& answer) override;
  void Close() override;

 private:
  void ScheduleNextStep();
  void RunNextStep();
  bool Connect();
  void StartOperation();
  void ContinueTransaction();
  void SendStatement(CallerStatement statement, bool is_write);
  bool is_connected() const { return this->port && this->port->is_open(); }
  CallerStatement MakeStatement(bool is_write);

  Scheduler& scheduler;
  ConsistencyChecker& checker;
  OpenCallerPort open_port;
  std::string name;
  std::string database;
  CallerRoute route;
  CustomerName customer;
  UnansweredClose unanswered_close;
  SeededRandom random;
  std::unique_ptr<CallerPort> port;
  uint64_t session_number = 0;
  SessionContext::Values values;
  std::optional<CommitEntry> own_commit;
  uint64_t attempt_number = 0;
  uint64_t statement_number = 0;
  std::string attempt;
  bool is_in_transaction = false;
  bool is_read_only = false;
  int statements_left = 0;
  bool did_write = false;
  TimePoint begun_at{};
  // The ID of the statement that awaits an answer, or empty.
  std::string outstanding;
  // The kind of the outstanding statement; kSetup is SET, PREPARE and BEGIN.
  enum class Step { kSetup, kAutocommit, kInTransaction, kCommit, kRollback };
  Step expected_step = Step::kSetup;
  TimePoint sent_at{};
  // Which of the two prepared statements the session has: the read, and both.
  bool has_prepared_read = false;
  bool is_prepared = false;
  bool is_stopped = false;
  Counts counted;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBEMULATOR_EMULATED_CALLER_H_
