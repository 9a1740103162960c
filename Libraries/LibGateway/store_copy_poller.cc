#include "LibGateway/store_copy_poller.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "LibGateway/refresh_timing.h"

namespace kingcupmill {

namespace {

// A reader that did not answer is skipped for this long.
constexpr Duration kReaderRetryDelay = std::chrono::seconds(4);
constexpr Duration kRetryDelay = std::chrono::milliseconds(50);

}  // namespace

StoreCopyPoller::StoreCopyPoller(Scheduler& scheduler,
                                 PeerLinks& peers,
                                 Versions versions,
                                 DidReceive did_receive)
    : scheduler(scheduler),
      peers(peers),
      versions(std::move(versions)),
      did_receive(std::move(did_receive)) {}

void StoreCopyPoller::SetReaders(std::vector<std::string> next) {
  if (next == this->readers)
    return;
  spdlog::info("event=store_readers count={} first={}", next.size(),
               next.empty() ? "" : next.front());
  this->readers = std::move(next);
  ++this->generation;
  this->is_polling = false;
  this->Poll();
}

std::optional<std::string> StoreCopyPoller::ChooseReader() const {
  const TimePoint now = this->scheduler.Now();
  for (const std::string& reader : this->readers) {
    const auto failed = this->failed_at.find(reader);
    if (failed == this->failed_at.end() ||
        now - failed->second >= kReaderRetryDelay)
      return reader;
  }
  return std::nullopt;
}

bool StoreCopyPoller::has_responsive_reader() const {
  return this->ChooseReader().has_value();
}

void StoreCopyPoller::Poll() {
  if (this->is_polling || this->readers.empty())
    return;
  if (const auto reader = this->ChooseReader())
    return this->SendQuery(*reader);
  this->PollAfter(kRetryDelay);
}

void StoreCopyPoller::SendQuery(const std::string& reader) {
  this->is_polling = true;
  const bool is_urgent = std::exchange(this->wants_copies_at_once, false);
  StoreCopyQuery query;
  query.versions = this->versions();
  query.wait = is_urgent ? Duration(0) : kReaderPollWait;
  this->peers.Ask(
      reader, query,
      is_urgent ? kCopyTimeout : kReaderPollWait + kReaderPollAllowance,
      this->life.Wrap([this, reader, generation = this->generation,
                       sent_at = this->scheduler.Now()](
                          const std::optional<PeerAnswer>& answer) {
        if (generation != this->generation)
          return;
        this->is_polling = false;
        const auto* copies =
            answer ? std::get_if<StoreCopyAnswer>(&*answer) : nullptr;
        if (!copies)
          return this->DidFail(reader, answer.has_value());
        this->suspected_reader.reset();
        this->failed_at.erase(reader);
        this->did_receive(*copies, sent_at);
        this->PollAfter(Duration(0));
      }));
}

void StoreCopyPoller::DidFail(const std::string& reader, bool is_unreachable) {
  this->wants_copies_at_once = true;
  // Only the connection may have died, and the next query uses a new one.
  if (!is_unreachable && this->suspected_reader != reader) {
    spdlog::info("event=store_reader_suspected reader={}", reader);
    this->suspected_reader = reader;
    return this->PollAfter(Duration(0));
  }
  spdlog::warn("event=store_reader_lost reader={}", reader);
  this->suspected_reader.reset();
  this->failed_at[reader] = this->scheduler.Now();
  this->PollAfter(kRetryDelay);
}

void StoreCopyPoller::PollAfter(Duration delay) {
  this->scheduler.PostAfter(
      delay, this->life.Wrap([this, generation = this->generation] {
        if (generation == this->generation)
          this->Poll();
      }));
}

}  // namespace kingcupmill
