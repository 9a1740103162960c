#include "LibCoordination/record_recovery.h"

#include <algorithm>
#include <utility>

#include "LibDispatch/event_log.h"
#include "LibDispatch/group_dispatcher.h"

namespace kingcupmill {

namespace {

constexpr Duration kQueryInterval = std::chrono::milliseconds(100);
constexpr Duration kQueryTimeout = std::chrono::milliseconds(400);
// How long to wait for targets that have not reported their status.
constexpr Duration kStatusTimeout = std::chrono::milliseconds(400);
constexpr Duration kAwaitedLogInterval = std::chrono::seconds(1);
// A write without an answer is sent again after this.
constexpr Duration kWriteRetryInterval = std::chrono::milliseconds(600);
// The last order of a coordinator that has ended arrives within the margin of
// CoordinatorLease and takes effect within the duration of a promotion.
constexpr Duration kOrderSettlingTime = std::chrono::milliseconds(2900);
// As above, for one that may still hold its lease.
constexpr Duration kLeaseSettlingTime = std::chrono::milliseconds(5400);

}  // namespace

RecordRecovery::RecordRecovery(Context context, Duration delay)
    : context(std::move(context)),
      recovered_era(this->context.view.era()),
      started_at(this->context.scheduler.Now() + delay),
      status_queries(
          this->context.scheduler,
          this->context.dispatcher,
          [this](const TargetName& target, const TargetReport& report) {
            this->reports[target] = report;
            this->Tick();
          }) {}

void RecordRecovery::Tick() {
  const TimePoint now = this->context.scheduler.Now();
  if (now < this->started_at || now - this->written_at < kWriteRetryInterval)
    return;
  if (now - this->homes_queried_at >= kQueryInterval) {
    this->homes_queried_at = now;
    this->QueryHomes();
  }
  const CoordinationView& view = this->context.view;
  // Without a record there was nothing to order.
  const bool has_restored_record =
      view.FindRestoredPrimary(this->context.group) != nullptr;
  const auto remembers = [&](const RecordKnowledge& knowledge) {
    return knowledge.era == view.era() &&
           (knowledge.has_earlier_era || !has_restored_record);
  };
  const auto is_settled = [&](const RecordKnowledge& knowledge) {
    return remembers(knowledge) ||
           (knowledge.era == view.era() &&
            knowledge.process_age >= kOrderSettlingTime);
  };
  const bool is_known_by_coordinator = this->has_last_coordinator();
  if (!is_known_by_coordinator && !this->have_all_answered(is_settled) &&
      now < view.era_seen_at() + kLeaseSettlingTime)
    return;
  const bool is_complete =
      is_known_by_coordinator || this->have_all_answered(remembers);
  if (!is_complete || !this->NewestKnown()) {
    if (!this->settled_at)
      this->settled_at = now;
    if (now - this->targets_queried_at >= kQueryInterval) {
      this->targets_queried_at = now;
      this->QueryTargets(now - *this->settled_at);
    }
    if (!this->has_enough_reports(now))
      return this->LogAwaitedReports(now);
  }
  if (const auto record = this->ChooseRecord())
    this->Write(*record);
}

void RecordRecovery::QueryHomes() {
  for (const std::string& address :
       this->context.view.RecentHomes(this->context.group)) {
    if (address == this->context.self_address)
      continue;
    this->context.peers.Ask(
        address, HealthQuery{this->context.group}, kQueryTimeout,
        this->life.Wrap([this, address](std::optional<PeerAnswer> answer) {
          const auto* health =
              answer ? std::get_if<HealthAnswer>(&*answer) : nullptr;
          if (!health || !health->knowledge)
            return;
          this->DidReceive(address, *health->knowledge);
        }));
  }
}

void RecordRecovery::DidReceive(const std::string& address,
                                const RecordKnowledge& knowledge) {
  this->context.did_receive(address, knowledge);
  RecordKnowledge& known = this->knowledge_by_address[address];
  // Its process may have been restarted since it gave up its handovers.
  const bool is_final =
      known.has_earlier_era && known.era == this->context.view.era();
  if (!is_final)
    known = knowledge;
  this->Tick();
}

void RecordRecovery::QueryTargets(Duration waited_for) {
  const auto need = this->context.synchronous_replicas() > 0
                        ? StatusQueries::Need::kRequired
                        : StatusQueries::Need::kUseful;
  for (const TargetEntry& entry : this->context.targets())
    this->status_queries.Send(entry.name, need, waited_for);
}

template <typename Predicate>
bool RecordRecovery::have_all_answered(Predicate is_sufficient) const {
  if (!is_sufficient(this->context.own_knowledge()))
    return false;
  const std::set<std::string> homes =
      this->context.view.RecentHomes(this->context.group);
  return std::all_of(
      homes.begin(), homes.end(), [&](const std::string& address) {
        if (address == this->context.self_address)
          return true;
        const auto known = this->knowledge_by_address.find(address);
        return known != this->knowledge_by_address.end() &&
               is_sufficient(known->second);
      });
}

bool RecordRecovery::has_last_coordinator() const {
  return this->context.own_knowledge().was_coordinator ||
         std::any_of(this->knowledge_by_address.begin(),
                     this->knowledge_by_address.end(),
                     [this](const auto& known) {
                       return known.second.was_coordinator &&
                              known.second.era == this->context.view.era();
                     });
}

size_t RecordRecovery::MissingReports() const {
  const std::vector<TargetEntry> targets = this->context.targets();
  return static_cast<size_t>(std::count_if(
      targets.begin(), targets.end(), [this](const TargetEntry& entry) {
        return !this->reports.contains(entry.name);
      }));
}

bool RecordRecovery::has_enough_reports(TimePoint now) const {
  const size_t missing = this->MissingReports();
  if (missing == 0 && !this->reports.empty())
    return true;
  if (now - *this->settled_at < kStatusTimeout)
    return false;
  // The primary of a term and this many replicas know each acknowledged commit
  // of the term.
  const auto synchronous_replicas =
      static_cast<size_t>(this->context.synchronous_replicas());
  return synchronous_replicas == 0 || missing <= synchronous_replicas;
}

void RecordRecovery::LogAwaitedReports(TimePoint now) {
  if (now - *this->settled_at < kStatusTimeout ||
      now - this->awaited_logged_at < kAwaitedLogInterval)
    return;
  this->awaited_logged_at = now;
  this->context.event_log.Write(
      EventLog::Kind::kStateChange,
      "event=recovery_awaits_reports group={} missing={} reports={} for_ms={}",
      this->context.group.value, this->MissingReports(), this->reports.size(),
      ToMilliseconds(now - *this->settled_at));
}

std::optional<PrimaryRecord> RecordRecovery::NewestKnown() const {
  std::optional<PrimaryRecord> newest = this->context.own_knowledge().earlier;
  for (const auto& [address, knowledge] : this->knowledge_by_address) {
    if (knowledge.earlier &&
        (!newest || knowledge.earlier->origin() > newest->origin()))
      newest = knowledge.earlier;
  }
  const PrimaryRecord* restored =
      this->context.view.FindRestoredPrimary(this->context.group);
  // Those that answered may have been unable to read the store for long before
  // the backup was made.
  if (restored && (!newest || restored->origin() > newest->origin()))
    newest = *restored;
  return newest;
}

std::optional<PrimaryRecord> RecordRecovery::ChooseRecord() const {
  std::optional<PrimaryRecord> chosen = this->NewestKnown();
  for (const auto& [name, report] : this->reports) {
    if (!report.is_primary || (chosen && report.term <= chosen->term))
      continue;
    chosen = PrimaryRecord{};
    chosen->group = this->context.group;
    chosen->term = report.term;
    chosen->primary = name;
  }
  // The primary of a later term has not reported.
  if (const Term newest = this->NewestReportedTerm();
      chosen && newest > chosen->term) {
    chosen->term = newest;
    chosen->state = PrimaryState::kClosing;
    chosen->is_planned = false;
    chosen->promotion_target = TargetName{};
  }
  return chosen;
}

Term RecordRecovery::NewestReportedTerm() const {
  Term newest;
  for (const auto& [name, report] : this->reports)
    newest = std::max({newest, report.term, report.received.term});
  return newest;
}

void RecordRecovery::Write(const PrimaryRecord& record) {
  const TimePoint now = this->context.scheduler.Now();
  const CoordinationView& view = this->context.view;
  this->written_at = now;
  this->context.event_log.Write(
      EventLog::Kind::kStateChange,
      "event=record_written group={} target={} term={} closing={} era={} "
      "after_ms={} answers={} homes={} reports={}",
      record.group.value, record.primary.value, record.term.value,
      record.state == PrimaryState::kClosing, view.era(),
      ToMilliseconds(now - view.era_seen_at()),
      this->knowledge_by_address.size(),
      view.RecentHomes(this->context.group).size(), this->reports.size());
  const PrimaryRecord* restored = view.FindRestoredPrimary(this->context.group);
  const std::string key = CoordinationView::PrimaryKey(this->context.group);
  TableChange change;
  change.expected.push_back({key, restored ? restored->version : 0});
  change.puts.push_back({key, CoordinationView::Encode(record, view.era())});
  this->context.store.Change(CoordinationView::kTable, std::move(change),
                             [](const ValueOrError<ChangeOutcome>&) {
                               // The view shows which proxy's write was
                               // applied.
                             });
}

}  // namespace kingcupmill
