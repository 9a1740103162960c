#ifndef LIBPEER_PEER_QUERY_H_
#define LIBPEER_PEER_QUERY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "LibCore/error.h"
#include "LibCore/names.h"
#include "LibCore/time.h"
#include "LibLink/target_command.h"
#include "LibPeer/forward_query.h"
#include "LibPrimary/primary_record.h"
#include "LibStatement/statement_answer.h"
#include "LibTables/row_store.h"

namespace kingcupmill {

// Asks for the peer's copies of the store's tables and for the log positions of
// the primaries that it knows.
struct StoreCopyQuery {
  // The versions of the tables that the querying proxy has: the configuration,
  // the targets and the coordination table. Rows that are no newer are left
  // out.
  std::vector<uint64_t> versions;
  // How long the peer may hold the query until it has read a table again; it
  // answers at once when it has newer rows.
  Duration wait{};
};

// One table of the store, as last read by the answering proxy.
struct TableCopy {
  std::string table;
  // Nothing when no row has changed since the version of the querying proxy.
  std::optional<TableDelta> delta;
  uint64_t version = 0;
  // The time from sending the read that returned this to the answer.
  Duration age{};
  // How long the store has answered the peer without a failure; nothing after a
  // failure.
  std::optional<Duration> available_for;
};

// The end of a group's log as reported by its primary.
struct PositionSampleCopy {
  GroupName group;
  LogPoint position;
  // The time from sending the command that returned this to the answer.
  Duration age{};
};

struct StoreCopyAnswer {
  std::vector<TableCopy> tables;
  std::vector<PositionSampleCopy> position_samples;
  // How long the peer held the query. The ages are as of the end of that time.
  Duration held{};
};

// Asks the peer to stop using a primary whose record in the store is closing.
struct ClosePrimaryQuery {
  PrimaryRecord record;
};

struct ClosePrimaryAnswer {
  // The peer no longer uses the primary and will not use it again.
  bool has_stopped = false;
  // How long ago the primary last answered the peer; Duration::max() when the
  // peer does not query it.
  Duration primary_answer_age{};
  // For how much longer a promise of the peer to start no handover may extend
  // the lease of another proxy.
  Duration promised_for{};
};

// Asks for the health of a group as seen by the peer. With an empty group it
// only probes whether the peer answers.
struct HealthQuery {
  GroupName group;
};

// What a proxy knows of the record of a group's primary.
struct RecordKnowledge {
  // The era of the store that it has read last.
  uint64_t era = 0;
  // How long its process has been running.
  Duration process_age{};
  // Whether it has also read the store in an earlier era.
  bool has_earlier_era = false;
  // Whether an order that it has sent to the promotion authority may still be
  // on its way.
  bool may_have_order = false;
  // Whether it was the last coordinator before the store was restored, so that
  // its knowledge is complete.
  bool was_coordinator = false;
  // The newest record that it has seen in an earlier era.
  std::optional<PrimaryRecord> earlier;
};

struct HealthAnswer {
  // Identifies the run of the peer's process.
  std::string incarnation;
  // How long the primary has left the peer's queries unanswered.
  Duration primary_silence{};
  // As in ClosePrimaryAnswer.
  Duration primary_answer_age{};
  // Whether a replica has recently answered the peer.
  bool has_recent_replica_answer = false;
  // Nothing when the query names no group, or from an earlier version of this
  // program.
  std::optional<RecordKnowledge> knowledge;
};

// Asks the peer to promise that it starts no handover for a while. The querying
// proxy cannot read the store and extends its leases with such promises.
struct PromiseQuery {};

struct PromiseAnswer {
  // Identifies the run of the peer's process; empty when it is not registered
  // and promises nothing.
  std::string incarnation;
  // How long the promise holds after the peer received the query.
  Duration duration{};
  // The groups that the promise covers, with the versions of their primaries'
  // records.
  std::map<GroupName, uint64_t> version_by_group;
};

// Asks the peer to lend one of its connections to a target. The connection is
// used with RelayQuery and given back with ReturnQuery.
struct BorrowQuery {
  // The name of the loan: chosen by the borrower, unique among all proxies.
  std::string loan;
  GroupName group;
  TargetName target;
  // The customer under whose name the connection must have been opened; empty
  // for the name of the lender's VM.
  CustomerName customer = {};
};

struct BorrowAnswer {
  bool is_lent = false;
  // The end of the target's log as last known to the peer.
  std::optional<LogPoint> position;
};

// Sends commands over a lent connection. The answer holds one answer per
// command.
struct RelayQuery {
  std::string loan;
  // Counts the queries of this loan from 0. A gap, left by a lost query, ends
  // the loan.
  uint64_t sequence = 0;
  std::vector<TargetCommand> commands;
  // How long the peer waits for the target.
  Duration timeout{};
};

struct RelayAnswer {
  // The connection or the loan is gone; the commands may have run.
  bool is_lost = false;
  std::vector<StatementAnswer> answers;
};

// Returns a lent connection.
struct ReturnQuery {
  std::string loan;
};

struct ReturnAnswer {};

// Asks the peer to make a change in the store, because the store does not
// accept it from the querying proxy.
struct StoreChangeQuery {
  std::string table;
  TableChange change;
};

struct StoreChangeAnswer {
  // Whether the store answered the peer. Otherwise the change may or may not
  // take effect, and the other fields mean nothing.
  bool is_answered = false;
  bool is_applied = false;
  uint64_t version = 0;
};

// Asks the holder of a customer's usage account for tokens. An active proxy
// also sends it without wanting any, so that the holder knows that it is
// connected.
struct UsageQuery {
  CustomerName customer;
  // The address of the querying proxy, which identifies it to the account.
  std::string proxy;
  // How many tokens it wants.
  uint64_t wanted = 0;
  // The rate, in operations a second, that it uses while it gets no answer.
  double offline_rate = 0;
  // The average rate at which it used tokens in the last seconds.
  double used_rate = 0;
  // How many tokens of its offline rate it has used since its start.
  double used_offline = 0;
  // How long its process has been running.
  Duration process_age{};
};

struct UsageAnswer {
  // Whether the peer keeps the customer's account. Otherwise the other fields
  // mean nothing.
  bool is_holder = false;
  // False while a new holder waits until its predecessor grants no more. The
  // querying proxy goes on with its offline rate, which the answer renews.
  bool is_granting = false;
  // The tokens granted; they expire a short time after the query was sent.
  uint64_t granted = 0;
  // Replaces the offline rate of the querying proxy.
  double offline_rate = 0;
  // How long it takes until the account has another token; zero if it has one.
  Duration wait{};
};

// Pools the offline rates of a customer with those of the other proxies of a
// place, while the holder of the account does not answer: transfers tokens to
// the peer and asks for whole ones.
struct UsagePoolQuery {
  CustomerName customer;
  // The tokens transferred, usually a fraction. They are the peer's even if its
  // answer is lost.
  double deposit = 0;
  uint64_t wanted = 0;
};

struct UsagePoolAnswer {
  uint64_t granted = 0;
};

// The query was not sent, because the peer could not be reached. Made by the
// querying proxy itself, never encoded.
struct NotSent {};

using PeerQuery = std::variant<StoreCopyQuery,
                               ClosePrimaryQuery,
                               HealthQuery,
                               BorrowQuery,
                               RelayQuery,
                               ReturnQuery,
                               StoreChangeQuery,
                               ForwardQuery,
                               ContinueQuery,
                               RollbackQuery,
                               PromiseQuery,
                               UsageQuery,
                               UsagePoolQuery>;
using PeerAnswer = std::variant<StoreCopyAnswer,
                                ClosePrimaryAnswer,
                                HealthAnswer,
                                BorrowAnswer,
                                RelayAnswer,
                                ReturnAnswer,
                                StoreChangeAnswer,
                                ForwardAnswer,
                                ContinueAnswer,
                                RollbackAnswer,
                                PromiseAnswer,
                                UsageAnswer,
                                UsagePoolAnswer,
                                NotSent>;

// Encodes a query or an answer as CBOR. An answer carries the number of its
// query.
std::vector<uint8_t> EncodeQuery(uint64_t number, const PeerQuery& query);
std::vector<uint8_t> EncodeAnswer(uint64_t number, const PeerAnswer& answer);

struct NumberedQuery {
  uint64_t number = 0;
  PeerQuery query;
};
struct NumberedAnswer {
  uint64_t number = 0;
  PeerAnswer answer;
};
using DecodedPeerMessage = std::variant<NumberedQuery, NumberedAnswer>;

// Decodes a message; fails with kInvalidInput on anything that the functions
// above do not write.
Result<DecodedPeerMessage> DecodePeerBytes(const std::vector<uint8_t>& bytes);

}  // namespace kingcupmill

#endif  // LIBPEER_PEER_QUERY_H_
