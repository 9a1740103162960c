#include "LibRelay/relaying_store.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace kingcupmill {

namespace {

// The number of queries to other proxies, one after another.
constexpr int kMaximumPeerAttempts = 2;
// Covers a round trip between proxies and a call to the store.
constexpr Duration kPeerTimeout = std::chrono::milliseconds(500);

}  // namespace

RelayingStore::RelayingStore(RowStore& store,
                             PeerLinks& peers,
                             PeerAddresses peer_addresses,
                             uint64_t seed)
    : store(store),
      peers(peers),
      peer_addresses(std::move(peer_addresses)),
      random(seed) {}

void RelayingStore::Read(std::string_view table, DidRead did_read) {
  this->store.Read(table, std::move(did_read));
}

void RelayingStore::PollChanges(std::string_view table,
                                uint64_t version,
                                Duration wait,
                                DidRead did_read) {
  this->store.PollChanges(table, version, wait, std::move(did_read));
}

void RelayingStore::Change(std::string_view table,
                           TableChange change,
                           DidChange did_change) {
  TableChange copy = change;
  this->store.Change(
      table, std::move(change),
      this->life.Wrap([this, name = std::string(table), copy = std::move(copy),
                       did_change = std::move(did_change)](
                          ValueOrError<ChangeOutcome> outcome) {
        auto* error = std::get_if<Error>(&outcome);
        if (!error)
          return did_change(std::move(outcome));
        this->ChangeThroughPeer(name, copy, kMaximumPeerAttempts,
                                std::move(*error), did_change);
      }));
}

void RelayingStore::ChangeThroughPeer(std::string table,
                                      TableChange change,
                                      int attempts_left,
                                      Error direct_error,
                                      DidChange did_change) {
  const std::vector<std::string> addresses = this->peer_addresses();
  if (attempts_left == 0 || addresses.empty())
    return did_change(std::move(direct_error));
  const std::string& address =
      addresses.at(this->random.Below(addresses.size()));
  spdlog::info("event=change_through_other table={} other={} error=\"{}\"",
               table, address, direct_error.message);
  const StoreChangeQuery query{table, change};
  this->peers.Ask(address, query, kPeerTimeout,
                  this->life.Wrap([this, table = std::move(table),
                                   change = std::move(change), attempts_left,
                                   direct_error = std::move(direct_error),
                                   did_change = std::move(did_change)](
                                      const std::optional<PeerAnswer>& answer) {
                    const auto* changed =
                        answer ? std::get_if<StoreChangeAnswer>(&*answer)
                               : nullptr;
                    if (changed && changed->is_answered)
                      return did_change(
                          ChangeOutcome{changed->is_applied, changed->version});
                    this->ChangeThroughPeer(table, change, attempts_left - 1,
                                            direct_error, did_change);
                  }));
}

void RelayingStore::Handle(const StoreChangeQuery& query,
                           const PeerLinks::SendAnswer& send_answer) {
  this->store.Change(query.table, query.change,
                     [send_answer](const ValueOrError<ChangeOutcome>& outcome) {
                       const auto* changed =
                           std::get_if<ChangeOutcome>(&outcome);
                       if (!changed)
                         return send_answer(StoreChangeAnswer{});
                       send_answer(StoreChangeAnswer{true, changed->is_applied,
                                                     changed->version});
                     });
}

}  // namespace kingcupmill
