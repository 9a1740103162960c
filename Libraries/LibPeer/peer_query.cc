#include "LibPeer/peer_query.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace kingcupmill {

using nlohmann::json;

namespace {

// Tags of the messages: the first element of each array.
constexpr int kCopyQuery = 1;
constexpr int kCopyAnswer = 2;
constexpr int kCloseQuery = 3;
constexpr int kCloseAnswer = 4;
constexpr int kHealthQuery = 5;
constexpr int kHealthAnswer = 6;

json ToJson(const TableCopy& copy) {
  json rows = nullptr;
  if (copy.rows) {
    rows = json::array();
    for (const StoreRow& row : copy.rows->rows)
      rows.push_back(json::array({row.key, row.value, row.version}));
  }
  return json::array(
      {copy.table, std::move(rows), copy.version, copy.age.count()});
}

TableCopy TableFromJson(const json& value) {
  TableCopy copy;
  copy.table = value.at(0);
  copy.version = value.at(2);
  copy.age = Duration(value.at(3).get<int64_t>());
  if (value.at(1).is_null())
    return copy;
  TableRows rows;
  rows.version = copy.version;
  for (const json& row : value.at(1))
    rows.rows.push_back(StoreRow{row.at(0), row.at(1), row.at(2), false});
  copy.rows = std::move(rows);
  return copy;
}

struct BodyOf {
  json operator()(const CopyQuery& query) const {
    return json::array({kCopyQuery, query.versions});
  }
  json operator()(const CloseQuery& query) const {
    const PrimaryRecord& record = query.record;
    return json::array({kCloseQuery, record.group.value, record.term.value,
                        record.primary.value, record.is_planned,
                        record.version});
  }
  json operator()(const HealthQuery& query) const {
    return json::array({kHealthQuery, query.group.value});
  }
  json operator()(const CopyAnswer& answer) const {
    json tables = json::array();
    for (const TableCopy& table : answer.tables)
      tables.push_back(ToJson(table));
    json proofs = json::array();
    for (const ProofCopy& proof : answer.proofs)
      proofs.push_back(
          json::array({proof.group.value, proof.position.term.value,
                       proof.position.position.value, proof.age.count()}));
    return json::array({kCopyAnswer, std::move(tables), std::move(proofs)});
  }
  json operator()(const CloseAnswer& answer) const {
    return json::array({kCloseAnswer, answer.has_stopped});
  }
  json operator()(const HealthAnswer& answer) const {
    return json::array({kHealthAnswer, answer.incarnation,
                        answer.primary_silence.count(), answer.hears_replicas});
  }
};

CopyAnswer CopyAnswerFrom(const json& body) {
  CopyAnswer answer;
  for (const json& table : body.at(1))
    answer.tables.push_back(TableFromJson(table));
  for (const json& value : body.at(2)) {
    ProofCopy proof;
    proof.group.value = value.at(0);
    proof.position.term.value = value.at(1);
    proof.position.position.value = value.at(2);
    proof.age = Duration(value.at(3).get<int64_t>());
    answer.proofs.push_back(std::move(proof));
  }
  return answer;
}

CloseQuery CloseQueryFrom(const json& body) {
  CloseQuery query;
  query.record.group.value = body.at(1);
  query.record.term.value = body.at(2);
  query.record.primary.value = body.at(3);
  query.record.state = PrimaryState::kClosing;
  query.record.is_planned = body.at(4);
  query.record.version = body.at(5);
  return query;
}

HealthAnswer HealthAnswerFrom(const json& body) {
  HealthAnswer answer;
  answer.incarnation = body.at(1);
  answer.primary_silence = Duration(body.at(2).get<int64_t>());
  answer.hears_replicas = body.at(3);
  return answer;
}

PeerMessageIn MessageFrom(uint64_t number, const json& body) {
  switch (body.at(0).get<int>()) {
    case kCopyQuery:
      return NumberedQuery{number,
                           CopyQuery{body.at(1).get<std::vector<uint64_t>>()}};
    case kCloseQuery:
      return NumberedQuery{number, CloseQueryFrom(body)};
    case kHealthQuery:
      return NumberedQuery{number, HealthQuery{GroupName{body.at(1)}}};
    case kCopyAnswer:
      return NumberedAnswer{number, CopyAnswerFrom(body)};
    case kCloseAnswer:
      return NumberedAnswer{number, CloseAnswer{body.at(1)}};
    case kHealthAnswer:
      return NumberedAnswer{number, HealthAnswerFrom(body)};
    default:
      throw json::other_error::create(501, "unknown message", &body);
  }
}

}  // namespace

std::vector<uint8_t> EncodeQuery(uint64_t number, const PeerQuery& query) {
  return json::to_cbor(json::array({number, std::visit(BodyOf{}, query)}));
}

std::vector<uint8_t> EncodeAnswer(uint64_t number, const PeerAnswer& answer) {
  return json::to_cbor(json::array({number, std::visit(BodyOf{}, answer)}));
}

Result<PeerMessageIn> DecodePeerBytes(const std::vector<uint8_t>& bytes) {
  try {
    const json message = json::from_cbor(bytes);
    return MessageFrom(message.at(0), message.at(1));
  } catch (const json::exception& exception) {
    return Fail(ErrorCode::kInvalidInput, exception.what());
  }
}

}  // namespace kingcupmill
