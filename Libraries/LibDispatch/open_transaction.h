#ifndef LIBDISPATCH_OPEN_TRANSACTION_H_
#define LIBDISPATCH_OPEN_TRANSACTION_H_

#include <functional>
#include <memory>
#include <optional>

#include "LibCore/lifetime_guard.h"
#include "LibCore/scheduler.h"
#include "LibDirectory/route_table.h"
#include "LibDispatch/caller_transaction.h"
#include "LibLink/pooled_connection.h"
#include "LibPrimary/primary_record.h"
#include "LibStatement/session_context.h"
#include "LibStatement/statement_answer.h"

namespace kingcupmill {

class GroupDispatcher;
class TargetView;

// A transaction on a connection of this proxy, or on one borrowed from another
// proxy.
class OpenTransaction final : public CallerTransaction {
 public:
  // `lease` is the primary on which it runs, or nothing for a read-only
  // transaction, which any target may run.
  OpenTransaction(GroupDispatcher& dispatcher,
                  std::shared_ptr<TargetView> target,
                  std::shared_ptr<PooledConnection> connection,
                  CallerRoute route,
                  std::optional<PrimaryRecord> lease);
  ~OpenTransaction() override;
  OpenTransaction(const OpenTransaction&) = delete;
  OpenTransaction& operator=(const OpenTransaction&) = delete;

  void Run(const SessionContext& session_context,
           TargetCommand command,
           TransactionStep step,
           DidAnswer did_answer) override;

  // Whether the connection is closed, which rolls the transaction back.
  bool is_lost() const { return this->connection->is_closed(); }

  std::optional<LogPoint> committed_point() const override {
    return this->committed;
  }

  // Whether a write may have run in it.
  bool has_written() const { return this->did_write; }

  // Whether a statement has been sent and not answered.
  bool is_busy() const { return this->is_awaiting_answer; }

  // Aborts the transaction at once by closing its connection. Called when the
  // lease on the primary ends.
  void Abort() { this->connection->Close(); }

  const std::optional<PrimaryRecord>& primary_lease() const {
    return this->lease;
  }

 private:
  void DidReceive(TransactionStep step,
                  TimePoint sent_at,
                  std::optional<StatementAnswer> answer,
                  const DidAnswer& did_answer);

  GroupDispatcher& dispatcher;
  std::shared_ptr<TargetView> target;
  std::shared_ptr<PooledConnection> connection;
  CallerRoute route;
  std::optional<PrimaryRecord> lease;
  bool did_write = false;
  bool is_awaiting_answer = false;
  std::optional<LogPoint> committed;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBDISPATCH_OPEN_TRANSACTION_H_
