#include "LibPeer/peer_query.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "LibCore/cbor.h"
#include "LibCore/verify.h"
#include "LibPeer/peer_json.h"

namespace kingcupmill {

using nlohmann::json;

namespace {

// The type of a message: the first element of its array. The numbers are part
// of the wire format.
constexpr int kStoreCopyQuery = 1;
constexpr int kStoreCopyAnswer = 2;
constexpr int kClosePrimaryQuery = 3;
constexpr int kClosePrimaryAnswer = 4;
constexpr int kHealthQuery = 5;
constexpr int kHealthAnswer = 6;
constexpr int kBorrowQuery = 7;
constexpr int kBorrowAnswer = 8;
constexpr int kRelayQuery = 9;
constexpr int kRelayAnswer = 10;
constexpr int kReturnQuery = 11;
constexpr int kReturnAnswer = 12;
constexpr int kStoreChangeQuery = 13;
constexpr int kStoreChangeAnswer = 14;
constexpr int kForwardQuery = 15;
constexpr int kForwardAnswer = 16;
constexpr int kContinueQuery = 17;
constexpr int kContinueAnswer = 18;
constexpr int kRollbackQuery = 19;
constexpr int kRollbackAnswer = 20;
constexpr int kPromiseQuery = 21;
constexpr int kPromiseAnswer = 22;
constexpr int kUsageQuery = 23;
constexpr int kUsageAnswer = 24;
constexpr int kUsagePoolQuery = 25;
constexpr int kUsagePoolAnswer = 26;

json ToJson(const TableCopy& copy) {
  json rows = nullptr;
  bool is_snapshot = false;
  if (copy.delta) {
    is_snapshot = copy.delta->is_snapshot;
    rows = json::array();
    for (const StoreRow& row : copy.delta->rows.rows)
      rows.push_back(json::array(
          {row.key, row.value, NumberOf(row.version), row.is_removed}));
  }
  json available_for = nullptr;
  if (copy.available_for)
    available_for = copy.available_for->count();
  return json::array({copy.table, std::move(rows), NumberOf(copy.version),
                      copy.age.count(), std::move(available_for), is_snapshot,
                      EraOf(copy.version)});
}

// Reads a version whose number and era are at these places of an array. Earlier
// versions of this program send no era.
uint64_t VersionFromJson(const json& value, size_t number, size_t era) {
  return MakeStoreVersion(
      value.size() > era ? value.at(era).get<uint64_t>() : 0, value.at(number));
}

TableCopy TableCopyFromJson(const json& value) {
  TableCopy copy;
  copy.table = NameFromJson(value.at(0));
  copy.version = VersionFromJson(value, 2, 6);
  copy.age = Duration(value.at(3).get<int64_t>());
  if (const json& available_for = value.at(4); !available_for.is_null())
    copy.available_for = Duration(available_for.get<int64_t>());
  if (value.at(1).is_null())
    return copy;
  TableDelta delta;
  delta.rows.version = copy.version;
  delta.is_snapshot = value.at(5);
  for (const json& row : value.at(1))
    delta.rows.rows.push_back(
        StoreRow{NameFromJson(row.at(0)), row.at(1),
                 MakeStoreVersion(EraOf(copy.version), row.at(2)), row.at(3)});
  copy.delta = std::move(delta);
  return copy;
}

json ToJson(const PrimaryRecord& record) {
  return json::array({record.group.value, record.term.value,
                      record.primary.value,
                      record.state == PrimaryState::kClosing, record.is_planned,
                      record.promotion_target.value, NumberOf(record.version),
                      EraOf(record.version)});
}

PrimaryRecord PrimaryRecordFromJson(const json& value) {
  PrimaryRecord record;
  record.group.value = NameFromJson(value.at(0));
  record.term.value = value.at(1);
  record.primary.value = NameFromJson(value.at(2));
  record.state =
      value.at(3).get<bool>() ? PrimaryState::kClosing : PrimaryState::kServing;
  record.is_planned = value.at(4);
  record.promotion_target.value = NameFromJson(value.at(5));
  record.version = VersionFromJson(value, 6, 7);
  return record;
}

json ToJson(const RecordKnowledge& knowledge) {
  json earlier = nullptr;
  if (knowledge.earlier)
    earlier = ToJson(*knowledge.earlier);
  return json::array({knowledge.era, knowledge.has_earlier_era,
                      knowledge.may_have_order, std::move(earlier),
                      knowledge.process_age.count(),
                      knowledge.was_coordinator});
}

RecordKnowledge RecordKnowledgeFromJson(const json& value) {
  RecordKnowledge knowledge;
  knowledge.era = value.at(0);
  knowledge.has_earlier_era = value.at(1);
  knowledge.may_have_order = value.at(2);
  if (!value.at(3).is_null())
    knowledge.earlier = PrimaryRecordFromJson(value.at(3));
  knowledge.process_age = Duration(value.at(4).get<int64_t>());
  knowledge.was_coordinator = value.at(5);
  return knowledge;
}

struct EncodeBody {
  json operator()(const StoreCopyQuery& query) const {
    json numbers = json::array();
    json eras = json::array();
    for (const uint64_t version : query.versions) {
      numbers.push_back(NumberOf(version));
      eras.push_back(EraOf(version));
    }
    return json::array({kStoreCopyQuery, std::move(numbers), query.wait.count(),
                        std::move(eras)});
  }
  json operator()(const ClosePrimaryQuery& query) const {
    const PrimaryRecord& record = query.record;
    return json::array({kClosePrimaryQuery, record.group.value,
                        record.term.value, record.primary.value,
                        record.is_planned, NumberOf(record.version),
                        EraOf(record.version)});
  }
  json operator()(const HealthQuery& query) const {
    return json::array({kHealthQuery, query.group.value});
  }
  json operator()(const BorrowQuery& query) const {
    json body = json::array(
        {kBorrowQuery, query.loan, query.group.value, query.target.value});
    if (!query.customer.value.empty())
      body.push_back(query.customer.value);
    return body;
  }
  json operator()(const RelayQuery& query) const {
    json commands = json::array();
    for (const TargetCommand& command : query.commands)
      commands.push_back(ToJson(command));
    return json::array({kRelayQuery, query.loan, std::move(commands),
                        query.timeout.count(), query.sequence});
  }
  json operator()(const ReturnQuery& query) const {
    return json::array({kReturnQuery, query.loan});
  }
  json operator()(const StoreChangeQuery& query) const {
    json expected = json::array();
    for (const auto& row : query.change.expected)
      expected.push_back(
          json::array({row.key, NumberOf(row.version), EraOf(row.version)}));
    json puts = json::array();
    for (const auto& row : query.change.puts)
      puts.push_back(json::array({row.key, row.value}));
    return json::array({kStoreChangeQuery, query.table, std::move(expected),
                        std::move(puts), query.change.removals});
  }
  json operator()(const StoreChangeAnswer& answer) const {
    return json::array({kStoreChangeAnswer, answer.is_answered,
                        answer.is_applied, NumberOf(answer.version),
                        EraOf(answer.version)});
  }
  json operator()(const BorrowAnswer& answer) const {
    return json::array(
        {kBorrowAnswer, answer.is_lent, ToJson(answer.position)});
  }
  json operator()(const RelayAnswer& answer) const {
    json answers = json::array();
    for (const StatementAnswer& entry : answer.answers)
      answers.push_back(ToJson(entry));
    return json::array({kRelayAnswer, answer.is_lost, std::move(answers)});
  }
  json operator()(const ReturnAnswer&) const {
    return json::array({kReturnAnswer});
  }
  json operator()(const StoreCopyAnswer& answer) const {
    json tables = json::array();
    for (const TableCopy& table : answer.tables)
      tables.push_back(ToJson(table));
    json position_samples = json::array();
    for (const PositionSampleCopy& sample : answer.position_samples)
      position_samples.push_back(
          json::array({sample.group.value, sample.position.term.value,
                       sample.position.position.value, sample.age.count()}));
    return json::array({kStoreCopyAnswer, std::move(tables),
                        std::move(position_samples), answer.held.count()});
  }
  json operator()(const ForwardQuery& query) const {
    return json::array({kForwardQuery, ToJson(query)});
  }
  json operator()(const ForwardAnswer& answer) const {
    return json::array({kForwardAnswer, ToJson(answer)});
  }
  json operator()(const ContinueQuery& query) const {
    return json::array({kContinueQuery, ToJson(query)});
  }
  json operator()(const ContinueAnswer& answer) const {
    return json::array({kContinueAnswer, ToJson(answer)});
  }
  json operator()(const RollbackQuery& query) const {
    return json::array({kRollbackQuery, query.name});
  }
  json operator()(const RollbackAnswer&) const {
    return json::array({kRollbackAnswer});
  }
  json operator()(const PromiseQuery&) const {
    return json::array({kPromiseQuery});
  }
  json operator()(const PromiseAnswer& answer) const {
    json versions = json::array();
    for (const auto& [group, version] : answer.version_by_group)
      versions.push_back(
          json::array({group.value, NumberOf(version), EraOf(version)}));
    return json::array({kPromiseAnswer, answer.incarnation,
                        answer.duration.count(), std::move(versions)});
  }
  json operator()(const UsageQuery& query) const {
    return json::array({kUsageQuery, query.customer.value, query.proxy,
                        query.wanted, query.offline_rate, query.used_rate,
                        query.used_offline, query.process_age.count()});
  }
  json operator()(const UsageAnswer& answer) const {
    return json::array({kUsageAnswer, answer.is_holder, answer.is_granting,
                        answer.granted, answer.offline_rate,
                        answer.wait.count()});
  }
  json operator()(const UsagePoolQuery& query) const {
    return json::array(
        {kUsagePoolQuery, query.customer.value, query.deposit, query.wanted});
  }
  json operator()(const UsagePoolAnswer& answer) const {
    return json::array({kUsagePoolAnswer, answer.granted});
  }
  json operator()(const NotSent&) const {
    // Made by the querying proxy itself and never encoded.
    KINGCUPMILL_VERIFY(false);
    return nullptr;
  }
  json operator()(const ClosePrimaryAnswer& answer) const {
    return json::array({kClosePrimaryAnswer, answer.has_stopped,
                        answer.primary_answer_age.count(),
                        answer.promised_for.count()});
  }
  json operator()(const HealthAnswer& answer) const {
    json knowledge = nullptr;
    if (answer.knowledge)
      knowledge = ToJson(*answer.knowledge);
    return json::array(
        {kHealthAnswer, answer.incarnation, answer.primary_silence.count(),
         answer.primary_answer_age.count(), answer.has_recent_replica_answer,
         std::move(knowledge)});
  }
};

StoreCopyAnswer StoreCopyAnswerFromJson(const json& body) {
  StoreCopyAnswer answer;
  for (const json& table : body.at(1))
    answer.tables.push_back(TableCopyFromJson(table));
  for (const json& value : body.at(2)) {
    PositionSampleCopy sample;
    sample.group.value = NameFromJson(value.at(0));
    sample.position.term.value = value.at(1);
    sample.position.position.value = value.at(2);
    sample.age = Duration(value.at(3).get<int64_t>());
    answer.position_samples.push_back(std::move(sample));
  }
  answer.held = Duration(body.at(3).get<int64_t>());
  return answer;
}

StoreCopyQuery StoreCopyQueryFromJson(const json& body) {
  StoreCopyQuery query;
  query.versions = body.at(1).get<std::vector<uint64_t>>();
  query.wait = Duration(body.at(2).get<int64_t>());
  if (body.size() <= 3)
    return query;
  for (size_t index = 0; index < query.versions.size(); ++index)
    query.versions[index] =
        MakeStoreVersion(body.at(3).at(index), query.versions[index]);
  return query;
}

ClosePrimaryQuery ClosePrimaryQueryFromJson(const json& body) {
  ClosePrimaryQuery query;
  query.record.group.value = NameFromJson(body.at(1));
  query.record.term.value = body.at(2);
  query.record.primary.value = NameFromJson(body.at(3));
  query.record.state = PrimaryState::kClosing;
  query.record.is_planned = body.at(4);
  query.record.version = VersionFromJson(body, 5, 6);
  return query;
}

ClosePrimaryAnswer ClosePrimaryAnswerFromJson(const json& body) {
  ClosePrimaryAnswer answer;
  answer.has_stopped = body.at(1);
  answer.primary_answer_age = Duration(body.at(2).get<int64_t>());
  // Earlier versions give no promises.
  if (body.size() > 3)
    answer.promised_for = Duration(body.at(3).get<int64_t>());
  return answer;
}

HealthAnswer HealthAnswerFromJson(const json& body) {
  HealthAnswer answer;
  answer.incarnation = body.at(1);
  answer.primary_silence = Duration(body.at(2).get<int64_t>());
  answer.primary_answer_age = Duration(body.at(3).get<int64_t>());
  answer.has_recent_replica_answer = body.at(4);
  if (body.size() > 5 && !body.at(5).is_null())
    answer.knowledge = RecordKnowledgeFromJson(body.at(5));
  return answer;
}

PromiseAnswer PromiseAnswerFromJson(const json& body) {
  PromiseAnswer answer;
  answer.incarnation = body.at(1);
  answer.duration = Duration(body.at(2).get<int64_t>());
  for (const json& entry : body.at(3))
    answer.version_by_group.emplace(GroupName{NameFromJson(entry.at(0))},
                                    VersionFromJson(entry, 1, 2));
  return answer;
}

StoreChangeQuery StoreChangeQueryFromJson(const json& body) {
  StoreChangeQuery query;
  query.table = NameFromJson(body.at(1));
  for (const json& row : body.at(2))
    query.change.expected.push_back(
        {NameFromJson(row.at(0)), VersionFromJson(row, 1, 2)});
  for (const json& row : body.at(3))
    query.change.puts.push_back({NameFromJson(row.at(0)), row.at(1)});
  for (const json& key : body.at(4).get_ref<const json::array_t&>())
    query.change.removals.push_back(NameFromJson(key));
  return query;
}

// Reads a customer at this place of an array. It is absent where no customers
// are declared.
CustomerName CustomerFromJson(const json& body, size_t place) {
  return body.size() > place ? CustomerName{NameFromJson(body.at(place))}
                             : CustomerName{};
}

// Reads a rate or a number of tokens. Throws json::exception unless the value
// is finite and at least zero.
double AmountFromJson(const json& value) {
  const double rate = value.get<double>();
  if (!std::isfinite(rate) || rate < 0)
    throw json::other_error::create(501, "not a finite amount", &value);
  return rate;
}

UsageQuery UsageQueryFromJson(const json& body) {
  UsageQuery query;
  query.customer.value = NameFromJson(body.at(1));
  query.proxy = body.at(2);
  query.wanted = body.at(3);
  query.offline_rate = AmountFromJson(body.at(4));
  query.used_rate = AmountFromJson(body.at(5));
  query.used_offline = AmountFromJson(body.at(6));
  query.process_age = Duration(body.at(7).get<int64_t>());
  return query;
}

UsageAnswer UsageAnswerFromJson(const json& body) {
  UsageAnswer answer;
  answer.is_holder = body.at(1);
  answer.is_granting = body.at(2);
  answer.granted = body.at(3);
  answer.offline_rate = AmountFromJson(body.at(4));
  answer.wait = Duration(body.at(5).get<int64_t>());
  return answer;
}

RelayQuery RelayQueryFromJson(const json& body) {
  RelayQuery query;
  query.loan = body.at(1);
  for (const json& command : body.at(2))
    query.commands.push_back(CommandFromJson(command));
  query.timeout = Duration(body.at(3).get<int64_t>());
  query.sequence = body.at(4);
  return query;
}

RelayAnswer RelayAnswerFromJson(const json& body) {
  RelayAnswer answer;
  answer.is_lost = body.at(1);
  for (const json& entry : body.at(2))
    answer.answers.push_back(StatementAnswerFromJson(entry));
  return answer;
}

DecodedPeerMessage MessageFromJson(uint64_t number, const json& body) {
  switch (body.at(0).get<int>()) {
    case kStoreCopyQuery:
      return NumberedQuery{number, StoreCopyQueryFromJson(body)};
    case kClosePrimaryQuery:
      return NumberedQuery{number, ClosePrimaryQueryFromJson(body)};
    case kHealthQuery:
      return NumberedQuery{number,
                           HealthQuery{GroupName{NameFromJson(body.at(1))}}};
    case kStoreCopyAnswer:
      return NumberedAnswer{number, StoreCopyAnswerFromJson(body)};
    case kClosePrimaryAnswer:
      return NumberedAnswer{number, ClosePrimaryAnswerFromJson(body)};
    case kBorrowQuery:
      return NumberedQuery{
          number, BorrowQuery{body.at(1), GroupName{NameFromJson(body.at(2))},
                              TargetName{NameFromJson(body.at(3))},
                              CustomerFromJson(body, 4)}};
    case kRelayQuery:
      return NumberedQuery{number, RelayQueryFromJson(body)};
    case kReturnQuery:
      return NumberedQuery{number, ReturnQuery{body.at(1)}};
    case kStoreChangeQuery:
      return NumberedQuery{number, StoreChangeQueryFromJson(body)};
    case kStoreChangeAnswer:
      return NumberedAnswer{number,
                            StoreChangeAnswer{body.at(1), body.at(2),
                                              VersionFromJson(body, 3, 4)}};
    case kBorrowAnswer:
      return NumberedAnswer{
          number, BorrowAnswer{body.at(1), PointFromJson(body.at(2))}};
    case kRelayAnswer:
      return NumberedAnswer{number, RelayAnswerFromJson(body)};
    case kReturnAnswer:
      return NumberedAnswer{number, ReturnAnswer{}};
    case kForwardQuery:
      return NumberedQuery{number, ForwardQueryFromJson(body.at(1))};
    case kForwardAnswer:
      return NumberedAnswer{number, ForwardAnswerFromJson(body.at(1))};
    case kContinueQuery:
      return NumberedQuery{number, ContinueQueryFromJson(body.at(1))};
    case kContinueAnswer:
      return NumberedAnswer{number, ContinueAnswerFromJson(body.at(1))};
    case kRollbackQuery:
      return NumberedQuery{number, RollbackQuery{body.at(1)}};
    case kRollbackAnswer:
      return NumberedAnswer{number, RollbackAnswer{}};
    case kHealthAnswer:
      return NumberedAnswer{number, HealthAnswerFromJson(body)};
    case kPromiseQuery:
      return NumberedQuery{number, PromiseQuery{}};
    case kPromiseAnswer:
      return NumberedAnswer{number, PromiseAnswerFromJson(body)};
    case kUsageQuery:
      return NumberedQuery{number, UsageQueryFromJson(body)};
    case kUsageAnswer:
      return NumberedAnswer{number, UsageAnswerFromJson(body)};
    case kUsagePoolQuery:
      return NumberedQuery{
          number, UsagePoolQuery{CustomerName{NameFromJson(body.at(1))},
                                 AmountFromJson(body.at(2)), body.at(3)}};
    case kUsagePoolAnswer:
      return NumberedAnswer{number, UsagePoolAnswer{body.at(1)}};
    default:
      throw json::other_error::create(501, "unknown message", &body);
  }
}

}  // namespace

std::vector<uint8_t> EncodeQuery(uint64_t number, const PeerQuery& query) {
  return json::to_cbor(json::array({number, std::visit(EncodeBody{}, query)}));
}

std::vector<uint8_t> EncodeAnswer(uint64_t number, const PeerAnswer& answer) {
  return json::to_cbor(json::array({number, std::visit(EncodeBody{}, answer)}));
}

Result<DecodedPeerMessage> DecodePeerBytes(const std::vector<uint8_t>& bytes) {
  KINGCUPMILL_TRY(message, DecodeCbor(bytes));
  try {
    return MessageFromJson(message.at(0), message.at(1));
  } catch (const json::exception& exception) {
    return Fail(ErrorCode::kInvalidInput, exception.what());
  }
}

}  // namespace kingcupmill
