#include "LibGateway/copy_follower.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace kingcupmill {

namespace {

// A reader answers when it has read the store again, which takes a long poll
// of its own, or when this is over.
constexpr Duration kWait = std::chrono::milliseconds(2000);
constexpr Duration kAnswerTimeout = kWait + std::chrono::milliseconds(600);
// A reader that did not answer is passed over for this long.
constexpr Duration kFailurePause = std::chrono::seconds(4);
constexpr Duration kRetryPause = std::chrono::milliseconds(50);

}  // namespace

CopyFollower::CopyFollower(Scheduler& scheduler,
                           PeerLinks& peers,
                           Versions versions,
                           DidReceive did_receive)
    : scheduler(scheduler),
      peers(peers),
      versions(std::move(versions)),
      did_receive(std::move(did_receive)) {}

void CopyFollower::SetReaders(std::vector<std::string> next) {
  if (next == this->readers)
    return;
  spdlog::info("event=store_readers count={} first={}", next.size(),
               next.empty() ? "" : next.front());
  this->readers = std::move(next);
  ++this->round;
  this->is_asking = false;
  this->Next();
}

std::optional<std::string> CopyFollower::ChooseReader() const {
  const TimePoint now = this->scheduler.Now();
  for (const std::string& reader : this->readers) {
    const auto failed = this->failed_at.find(reader);
    if (failed == this->failed_at.end() ||
        now - failed->second >= kFailurePause)
      return reader;
  }
  return std::nullopt;
}

bool CopyFollower::is_working() const {
  return this->ChooseReader().has_value();
}

void CopyFollower::Next() {
  if (this->is_asking || this->readers.empty())
    return;
  if (const auto reader = this->ChooseReader())
    return this->Ask(*reader);
  this->scheduler.PostAfter(kRetryPause,
                            this->life.Wrap([this, round = this->round] {
                              if (round == this->round)
                                this->Next();
                            }));
}

void CopyFollower::Ask(const std::string& reader) {
  this->is_asking = true;
  CopyQuery query;
  query.versions = this->versions();
  query.wait = kWait;
  this->peers.Ask(reader, query, kAnswerTimeout,
                  this->life.Wrap([this, reader, round = this->round,
                                   sent_at = this->scheduler.Now()](
                                      const std::optional<PeerAnswer>& answer) {
                    if (round != this->round)
                      return;
                    this->is_asking = false;
                    const auto* copies =
                        answer ? std::get_if<CopyAnswer>(&*answer) : nullptr;
                    if (copies) {
                      this->failed_at.erase(reader);
                      this->did_receive(*copies, sent_at);
                    } else {
                      spdlog::warn("event=store_reader_lost reader={}", reader);
                      this->failed_at[reader] = this->scheduler.Now();
                    }
                    this->scheduler.PostAfter(
                        copies ? Duration(0) : Duration(kRetryPause),
                        this->life.Wrap([this, round] {
                          if (round == this->round)
                            this->Next();
                        }));
                  }));
}

}  // namespace kingcupmill
