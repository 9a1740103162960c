#include "LibProxy/control_agent.h"

#include <algorithm>
#include <set>
#include <utility>

#include "LibArrangement/arrangement_parser.h"
#include "LibConfiguration/change_record.h"
#include "LibCore/decision_log.h"
#include "LibProxy/peer_network.h"
#include "LibProxy/primary_row.h"
#include "LibProxy/proxy_core.h"

namespace kingcupmill {

namespace {

std::string Describe(const RevisionName& name) {
  return std::to_string(name.revision.value) + ":" + name.digest;
}

}  // namespace

ControlAgent::ControlAgent(Scheduler& scheduler,
                           PlatformLink& platform,
                           PeerNetwork& peers,
                           ProxyCore& core,
                           const DecisionLog& log,
                           uint64_t seed,
                           Options options,
                           DidAdopt did_adopt)
    : scheduler(scheduler),
      platform(platform),
      peers(peers),
      core(core),
      log(log),
      random(seed),
      options(std::move(options)),
      did_adopt(std::move(did_adopt)),
      revisions(this->options.downgrade_policy) {
  if (!this->options.seeds.empty())
    this->SetMembers(this->options.seeds);
  this->scheduler.PostAfter(Duration(0), this->life.Wrap([this] {
    this->Poll();
    this->SendPeriodicHeartbeats();
  }));
}

ControlAgent::~ControlAgent() = default;

void ControlAgent::Poll() {
  this->platform.ReadRow(
      kHeadKey,
      this->life.Wrap([this](const ValueOrError<PlatformRow>& outcome) {
        this->DidReadHead(outcome);
      }));
  this->platform.ListVms(this->life.Wrap(
      [this](const ValueOrError<std::vector<VmRecord>>& outcome) {
        this->DidListVms(outcome);
      }));
  this->scheduler.PostAfter(this->PollInterval(),
                            this->life.Wrap([this] { this->Poll(); }));
}

Duration ControlAgent::PollInterval() {
  const auto vm_count = static_cast<int64_t>(this->known_members.size());
  const Duration interval =
      std::max(this->options.poll_interval,
               vm_count * this->options.poll_interval_per_vm);
  // Jitter of up to a quarter keeps the proxies from polling in lockstep.
  const auto quarter = static_cast<uint64_t>(interval.count() / 4 + 1);
  return interval + Duration(static_cast<int64_t>(this->random.Below(quarter)));
}

void ControlAgent::DidReadHead(const ValueOrError<PlatformRow>& outcome) {
  const auto* row = std::get_if<PlatformRow>(&outcome);
  if (!row)
    return;
  auto decoded = Capture([&] { return DecodeChangeRecord(row->value); });
  const auto* record = std::get_if<ChangeRecord>(&decoded);
  if (!record)
    return;
  const RevisionName name{record->revision, record->digest};
  if (this->revisions.DidLearnRevision(this->scheduler.Now(), name,
                                       RevisionSource::kStore)) {
    this->FetchFromStore(name);
  }
}

void ControlAgent::FetchFromStore(const RevisionName& name) {
  this->platform.ReadBlob(
      name.digest,
      this->life.Wrap([this, name](const ValueOrError<std::string>& outcome) {
        const auto* text = std::get_if<std::string>(&outcome);
        if (text)
          this->DidReceiveText(name, *text);
      }));
}

void ControlAgent::DidReceiveText(const RevisionName& name,
                                  const std::string& text) {
  const TimePoint now = this->scheduler.Now();
  if (!this->revisions.DidReceiveText(now, name, text))
    return;
  std::vector<SettingError> errors;
  const DeclarationFile file{"revision-" + std::to_string(name.revision.value),
                             text};
  Arrangement arrangement =
      ArrangementParser::Parse(std::span(&file, 1), errors);
  if (!errors.empty()) {
    // Texts are validated before they are published, so one that fails here
    // was published by a newer version of the software. The arrangement in
    // force stays.
    this->log.Write(DecisionLog::Frequency::kRare, "adopt_revision",
                    Describe(name), "none", "", FormatErrors(errors));
    return;
  }
  this->log.Write(DecisionLog::Frequency::kRare, "adopt_revision",
                  "arrangement", Describe(name), "",
                  "newer than the revision in force");
  this->text_in_force = text;
  this->did_adopt(arrangement);
  this->core.AdoptArrangement(std::move(arrangement));
  this->SendHeartbeats(this->options.adoption_fanout);
}

void ControlAgent::DidListVms(
    const ValueOrError<std::vector<VmRecord>>& outcome) {
  const auto* records = std::get_if<std::vector<VmRecord>>(&outcome);
  if (!records)
    return;
  this->has_listed_vms = true;
  std::vector<Member> members;
  std::set<TargetName> leaving;
  for (const VmRecord& record : *records) {
    if (record.role == VmRole::kEntry) {
      members.push_back(Member{VmName{record.name}, record.place,
                               record.peer_address, record.state});
    } else if (record.state == VmState::kLeaving) {
      leaving.insert(TargetName{record.name});
    }
  }
  this->core.SetLeavingTargets(std::move(leaving));
  // An empty list is treated as a fault of the platform, not as the removal of
  // all VMs.
  if (!members.empty())
    this->SetMembers(std::move(members));
}

void ControlAgent::SetMembers(std::vector<Member> members) {
  if (members == this->known_members)
    return;
  this->known_members = std::move(members);
  this->peers.SetMembers(this->known_members);
  this->core.SetMembers(this->known_members);
}

void ControlAgent::SendPeriodicHeartbeats() {
  this->SendHeartbeats(this->options.heartbeat_fanout);
  this->scheduler.PostAfter(
      this->options.heartbeat_interval,
      this->life.Wrap([this] { this->SendPeriodicHeartbeats(); }));
}

HeartbeatMessage ControlAgent::MakeHeartbeat(uint64_t number) const {
  HeartbeatMessage heartbeat;
  heartbeat.number = number;
  heartbeat.sender = this->options.vm;
  heartbeat.revision = this->revisions.in_force();
  return heartbeat;
}

void ControlAgent::SendHeartbeats(size_t count) {
  std::vector<VmName> others;
  for (const Member& member : this->known_members) {
    if (member.vm != this->options.vm)
      others.push_back(member.vm);
  }
  for (; count > 0 && !others.empty(); --count) {
    const size_t index = this->random.Below(others.size());
    this->peers.Send(others[index], this->MakeHeartbeat(this->next_number++));
    others.erase(others.begin() + static_cast<ptrdiff_t>(index));
  }
}

void ControlAgent::DidReceive(const PeerMessage& message,
                              const SendAnswer& send_answer) {
  if (const auto* heartbeat = std::get_if<HeartbeatMessage>(&message))
    return this->DidReceiveHeartbeat(*heartbeat, send_answer);
  if (const auto* fetch = std::get_if<FetchMessage>(&message)) {
    if (this->text_in_force.empty())
      return;
    return send_answer(
        ArrangementMessage{fetch->number, this->revisions.in_force(),
                           this->text_in_force, this->known_members});
  }
  if (const auto* arrangement = std::get_if<ArrangementMessage>(&message))
    this->DidReceiveArrangement(*arrangement);
}

void ControlAgent::DidReceiveHeartbeat(const HeartbeatMessage& heartbeat,
                                       const SendAnswer& send_answer) {
  if (!heartbeat.is_answer) {
    HeartbeatMessage reply = this->MakeHeartbeat(heartbeat.number);
    reply.is_answer = true;
    send_answer(reply);
  }
  if (this->revisions.DidLearnRevision(
          this->scheduler.Now(), heartbeat.revision, RevisionSource::kPeer)) {
    send_answer(FetchMessage{this->next_number++});
  }
}

void ControlAgent::DidReceiveArrangement(const ArrangementMessage& message) {
  // A peer's list is used only until the platform has returned its own.
  if (!this->has_listed_vms && !message.members.empty())
    this->SetMembers(message.members);
  this->revisions.DidLearnRevision(this->scheduler.Now(), message.revision,
                                   RevisionSource::kPeer);
  this->DidReceiveText(message.revision, message.text);
}

void ControlAgent::RecordPromotion(const GroupName& group,
                                   const RecordPrimary& record) {
  const std::string key = "primary-" + group.value;
  const std::string value = EncodePrimaryRow(record.target, record.term);
  PlatformLink* platform_link = &this->platform;
  platform_link->ReadRow(key, [platform_link, key, value, record](
                                  const ValueOrError<PlatformRow>& outcome) {
    const auto* row = std::get_if<PlatformRow>(&outcome);
    if (!row)
      return;
    if (DecodePrimaryRowTerm(row->value) < record.term)
      platform_link->WriteRow(key, value, row->version, [](const auto&) {});
  });
}

}  // namespace kingcupmill
