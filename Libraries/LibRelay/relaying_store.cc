#include "LibRelay/relaying_store.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace kingcupmill {

namespace {

// Other proxies that are asked, one after another.
constexpr int kTries = 2;
// A round trip between proxies and a call of the store.
constexpr Duration kTimeout = std::chrono::milliseconds(500);

}  // namespace

RelayingStore::RelayingStore(RowStore& store,
                             PeerLinks& peers,
                             Others others,
                             uint64_t seed)
    : store(store), peers(peers), others(std::move(others)), random(seed) {}

void RelayingStore::Read(std::string_view table, DidRead did_read) {
  this->store.Read(table, std::move(did_read));
}

void RelayingStore::Follow(std::string_view table,
                           uint64_t version,
                           Duration wait,
                           DidRead did_read) {
  this->store.Follow(table, version, wait, std::move(did_read));
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
        this->ChangeThroughOther(name, copy, kTries, std::move(*error),
                                 did_change);
      }));
}

void RelayingStore::ChangeThroughOther(std::string table,
                                       TableChange change,
                                       int tries_left,
                                       Error own_error,
                                       DidChange did_change) {
  const std::vector<std::string> addresses = this->others();
  if (tries_left == 0 || addresses.empty())
    return did_change(std::move(own_error));
  const std::string& address =
      addresses.at(this->random.Below(addresses.size()));
  spdlog::info("event=change_through_other table={} other={} error=\"{}\"",
               table, address, own_error.message);
  const ChangeQuery query{table, change};
  this->peers.Ask(address, query, kTimeout,
                  this->life.Wrap([this, table = std::move(table),
                                   change = std::move(change), tries_left,
                                   own_error = std::move(own_error),
                                   did_change = std::move(did_change)](
                                      const std::optional<PeerAnswer>& answer) {
                    const auto* changed =
                        answer ? std::get_if<ChangeAnswer>(&*answer) : nullptr;
                    if (changed && changed->is_answered)
                      return did_change(
                          ChangeOutcome{changed->is_applied, changed->version});
                    this->ChangeThroughOther(table, change, tries_left - 1,
                                             own_error, did_change);
                  }));
}

void RelayingStore::Handle(const ChangeQuery& query,
                           const PeerLinks::Answer& answer) {
  this->store.Change(
      query.table, query.change,
      [answer](const ValueOrError<ChangeOutcome>& outcome) {
        const auto* changed = std::get_if<ChangeOutcome>(&outcome);
        if (!changed)
          return answer(ChangeAnswer{});
        answer(ChangeAnswer{true, changed->is_applied, changed->version});
      });
}

}  // namespace kingcupmill
