#include "LibProxy/control_agent.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "LibArrangement/arrangement_parser.h"
#include "LibConfiguration/change_record.h"
#include "LibCore/decision_log.h"
#include "LibProxy/peer_network.h"
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
      revisions(this->options.step_back) {
  if (!this->options.seeds.empty())
    this->SetMembers(this->options.seeds);
  this->scheduler.PostAfter(Duration(0), this->life.Wrap([this] {
    this->Poll();
    this->Pulse();
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
  // Jitter of a quarter keeps the proxies from polling in step.
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
  if (this->revisions.DidHear(this->scheduler.Now(), name,
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
    // Published texts are checked first; one that fails here comes from a
    // newer version, and what is in force stays.
    this->log.Write(DecisionLog::Frequency::kRare, "adopt_revision",
                    Describe(name), "none", "", FormatErrors(errors));
    return;
  }
  this->log.Write(DecisionLog::Frequency::kRare, "adopt_revision",
                  "arrangement", Describe(name), "", "newer than before");
  this->text_in_force = text;
  this->did_adopt(arrangement);
  this->core.AdoptArrangement(std::move(arrangement));
  this->SendPulses(this->options.adoption_fanout);
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
  // An empty list is an error of the platform, not the end of all VMs.
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

void ControlAgent::Pulse() {
  this->SendPulses(this->options.pulse_fanout);
  this->scheduler.PostAfter(this->options.pulse_interval,
                            this->life.Wrap([this] { this->Pulse(); }));
}

PulseMessage ControlAgent::MakePulse(uint64_t number) const {
  PulseMessage pulse;
  pulse.number = number;
  pulse.sender = this->options.vm;
  pulse.revision = this->revisions.in_force();
  return pulse;
}

void ControlAgent::SendPulses(size_t count) {
  std::vector<VmName> others;
  for (const Member& member : this->known_members) {
    if (member.vm != this->options.vm)
      others.push_back(member.vm);
  }
  for (; count > 0 && !others.empty(); --count) {
    const size_t index = this->random.Below(others.size());
    this->peers.Send(others[index], this->MakePulse(this->next_number++));
    others.erase(others.begin() + static_cast<ptrdiff_t>(index));
  }
}

void ControlAgent::DidReceive(const PeerMessage& message,
                              const Answer& answer) {
  if (const auto* pulse = std::get_if<PulseMessage>(&message))
    return this->DidReceivePulse(*pulse, answer);
  if (const auto* fetch = std::get_if<FetchMessage>(&message)) {
    if (this->text_in_force.empty())
      return;
    return answer(ArrangementMessage{fetch->number, this->revisions.in_force(),
                                     this->text_in_force, this->known_members});
  }
  if (const auto* arrangement = std::get_if<ArrangementMessage>(&message))
    this->DidReceiveArrangement(*arrangement);
}

void ControlAgent::DidReceivePulse(const PulseMessage& pulse,
                                   const Answer& answer) {
  if (!pulse.is_answer) {
    PulseMessage reply = this->MakePulse(pulse.number);
    reply.is_answer = true;
    answer(reply);
  }
  if (this->revisions.DidHear(this->scheduler.Now(), pulse.revision,
                              RevisionSource::kPeer)) {
    answer(FetchMessage{this->next_number++});
  }
}

void ControlAgent::DidReceiveArrangement(const ArrangementMessage& message) {
  // The list that a peer passes on only helps a proxy that has none yet.
  if (!this->has_listed_vms && !message.members.empty())
    this->SetMembers(message.members);
  this->revisions.DidHear(this->scheduler.Now(), message.revision,
                          RevisionSource::kPeer);
  this->DidReceiveText(message.revision, message.text);
}

void ControlAgent::Record(const GroupName& group, const RecordPrimary& record) {
  const std::string key = "primary-" + group.value;
  const std::string value = nlohmann::json{
      {"target", record.target.value},
      {"term",
       record.term.value}}.dump();
  PlatformLink* link = &this->platform;
  link->ReadRow(key, [link, key, value,
                      record](const ValueOrError<PlatformRow>& outcome) {
    const auto* row = std::get_if<PlatformRow>(&outcome);
    if (!row)
      return;
    const auto parsed = nlohmann::json::parse(row->value, nullptr, false);
    const uint64_t known =
        parsed.is_object() ? parsed.value("term", uint64_t{0}) : 0;
    if (known < record.term.value)
      link->WriteRow(key, value, row->version, [](const auto&) {});
  });
}

}  // namespace kingcupmill
