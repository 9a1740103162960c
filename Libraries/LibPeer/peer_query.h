#ifndef LIBPEER_PEER_QUERY_H_
#define LIBPEER_PEER_QUERY_H_

#include <cstdint>
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

// Asks for the peer's copies of the store's tables and its proofs of positions.
struct CopyQuery {
  // The versions that the asker has; rows that are no newer are left out.
  std::vector<uint64_t> versions;
  // How long the peer may hold the question until it has read a table again; an
  // answer with newer rows comes at once.
  Duration wait{};
};

// One table of the store as a proxy read it.
struct TableCopy {
  std::string table;
  // Nothing when no row has changed since the asker's version.
  std::optional<TableDifference> difference;
  uint64_t version = 0;
  // How long before the answer the read was sent that showed this.
  Duration age{};
  // For how long the store has answered the peer without a failure.
  std::optional<Duration> steady_for;
};

// Where a group's log ended, by its primary's word.
struct ProofCopy {
  GroupName group;
  LogPoint position;
  // How long before the answer the command was sent that showed this.
  Duration age{};
};

struct CopyAnswer {
  std::vector<TableCopy> tables;
  std::vector<ProofCopy> proofs;
  // How long the peer held the question: the ages count from the end of that.
  Duration held{};
};

// Asks the peer to stop using a primary that the store shows as closing.
struct CloseQuery {
  PrimaryRecord record;
};

struct CloseAnswer {
  // The peer does not use the primary any more and will not use it again.
  bool has_stopped = false;
  // How long ago the primary last answered the peer.
  Duration primary_heard_age{};
};

// Asks what the peer sees of a group; without a group, only whether it lives.
struct HealthQuery {
  GroupName group;
};

struct HealthAnswer {
  std::string incarnation;
  // How long the primary has left the peer's questions unanswered.
  Duration primary_silence{};
  // How long ago the primary last answered the peer.
  Duration primary_heard_age{};
  bool hears_replicas = false;
};

// Asks the peer to lend one of its connections to a target.
struct BorrowQuery {
  // Chosen by the borrower; unique.
  std::string loan;
  GroupName group;
  TargetName target;
};

struct BorrowAnswer {
  bool is_lent = false;
  // The end of the target's log when the peer last heard of it.
  std::optional<LogPoint> position;
};

// Sends commands on a lent connection; the answer has the answers to all.
struct RelayQuery {
  std::string loan;
  // Counts the questions of this loan from 0: one that was lost ends the loan.
  uint64_t sequence = 0;
  std::vector<TargetCommand> commands;
  // How long the peer waits for the target.
  Duration timeout{};
};

struct RelayAnswer {
  // The connection is gone; commands may have run.
  bool is_lost = false;
  std::vector<StatementAnswer> answers;
};

// Gives a lent connection back.
struct ReturnQuery {
  std::string loan;
};

struct ReturnAnswer {};

// Asks the peer to make a change in the store, which does not take it from the
// asker.
struct ChangeQuery {
  std::string table;
  TableChange change;
};

struct ChangeAnswer {
  // The store answered the peer.
  bool is_answered = false;
  bool is_applied = false;
  uint64_t version = 0;
};

// The question did not leave this proxy: the peer could not be reached. Never
// on the wire.
struct NotSent {};

using PeerQuery = std::variant<CopyQuery,
                               CloseQuery,
                               HealthQuery,
                               BorrowQuery,
                               RelayQuery,
                               ReturnQuery,
                               ChangeQuery,
                               ForwardQuery,
                               ContinueQuery,
                               EndQuery>;
using PeerAnswer = std::variant<CopyAnswer,
                                CloseAnswer,
                                HealthAnswer,
                                BorrowAnswer,
                                RelayAnswer,
                                ReturnAnswer,
                                ChangeAnswer,
                                ForwardAnswer,
                                ContinueAnswer,
                                EndAnswer,
                                NotSent>;

// Encodes a numbered query or answer as CBOR.
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
using PeerMessageIn = std::variant<NumberedQuery, NumberedAnswer>;

// Fails with kInvalidInput on anything else than what the above write.
Result<PeerMessageIn> DecodePeerBytes(const std::vector<uint8_t>& bytes);

}  // namespace kingcupmill

#endif  // LIBPEER_PEER_QUERY_H_
