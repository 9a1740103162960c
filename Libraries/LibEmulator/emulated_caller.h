#ifndef LIBEMULATOR_EMULATED_CALLER_H_
#define LIBEMULATOR_EMULATED_CALLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "LibCore/life_guard.h"
#include "LibCore/random_source.h"
#include "LibCore/scheduler.h"
#include "LibDirectory/route_table.h"
#include "LibEmulator/caller_port.h"
#include "LibEmulator/promise_checker.h"
#include "LibGateway/caller_channel.h"

namespace kingcupmill {

// One caller: opens sessions at proxies and runs statements, transactions and
// settings at random, never twice the same attempt.
class EmulatedCaller final : public CallerChannel {
 public:
  struct Counts {
    uint64_t sent = 0;
    uint64_t succeeded = 0;
    uint64_t refused = 0;
    uint64_t in_doubt = 0;
    uint64_t writes_succeeded = 0;
  };
  // What it means that a proxy closes a session without an answer to the last
  // statement.
  enum class Closes {
    // The proxy had the statement: it was cut.
    kCut,
    // The proxy may have ended, or the statement may have crossed the close.
    kTellNothing,
  };

  EmulatedCaller(Scheduler& scheduler,
                 PromiseChecker& checker,
                 OpenCallerPort open_port,
                 std::string name,
                 std::string database,
                 CallerRoute route,
                 Closes closes,
                 uint64_t seed);
  ~EmulatedCaller() override;

  void Start();
  void Stop() { this->is_stopped = true; }
  const Counts& counts() const { return this->counted; }

  // The process of the proxy has ended or is about to; its sessions with it.
  void Disconnect();

  // CallerChannel:
  void Send(const StatementAnswer& answer) override;
  void Close() override;

 private:
  void Think();
  void Act();
  bool Connect();
  void StartOperation();
  void NextInTransaction();
  void SendStatement(CallerStatement statement, bool is_write);
  bool is_connected() const { return this->port && this->port->is_open(); }
  CallerStatement MakeStatement(bool is_write);

  Scheduler& scheduler;
  PromiseChecker& checker;
  OpenCallerPort open_port;
  std::string name;
  std::string database;
  CallerRoute route;
  Closes closes;
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
  int steps_left = 0;
  bool did_write = false;
  TimePoint begun_at{};
  // The statement without an answer; empty when there is none.
  std::string outstanding;
  // What the outstanding statement is for.
  enum class Step { kOwn, kSingle, kInside, kCommit, kRollback };
  Step expected_step = Step::kOwn;
  TimePoint sent_at{};
  // Which of the two prepared statements the session has.
  bool has_prepared_read = false;
  bool is_prepared = false;
  bool is_stopped = false;
  Counts counted;
  LifeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBEMULATOR_EMULATED_CALLER_H_
