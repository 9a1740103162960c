#include "LibPeer/forward_query.h"

#include "LibPeer/peer_json.h"

namespace kingcupmill {

using nlohmann::json;

namespace {

json ToJson(const CallerRoute& route) {
  return json::array({static_cast<int>(route.kind), route.group.value,
                      route.statement_timeout.count(),
                      route.target_latency.count(), route.priority,
                      route.maximum_staleness.count()});
}

CallerRoute RouteFromJson(const json& value) {
  CallerRoute route;
  route.kind = EnumFromJson(value.at(0), RouteKind::kReadYourWrites);
  route.group.value = NameFromJson(value.at(1));
  route.statement_timeout = Duration(value.at(2).get<int64_t>());
  route.target_latency = Duration(value.at(3).get<int64_t>());
  route.priority = value.at(4);
  route.maximum_staleness = Duration(value.at(5).get<int64_t>());
  return route;
}

SessionContext::Values ValuesFromJson(const json& value) {
  SessionContext::Values values;
  for (const auto& [name, text] : value.items())
    values.emplace(name, text.get<std::string>());
  return values;
}

json ToJson(const SessionContext::Values& values) {
  json object = json::object();
  for (const auto& [name, text] : values)
    object[name] = text;
  return object;
}

}  // namespace

json ToJson(const ForwardQuery& query) {
  json value =
      json::array({query.name, ToJson(query.route), ToJson(query.command),
                   query.needs_primary, query.is_write, query.opens_transaction,
                   ToJson(query.values), ToJson(query.session_point),
                   query.waited.count(), query.statement_id});
  if (!query.customer.value.empty()) {
    value.push_back(query.customer.value);
    value.push_back(query.customer_priority);
    value.push_back(query.customer_weight);
  }
  return value;
}

ForwardQuery ForwardQueryFromJson(const json& value) {
  ForwardQuery query;
  query.name = value.at(0);
  query.route = RouteFromJson(value.at(1));
  query.command = CommandFromJson(value.at(2));
  query.needs_primary = value.at(3);
  query.is_write = value.at(4);
  query.opens_transaction = value.at(5);
  query.values = ValuesFromJson(value.at(6));
  query.session_point = PointFromJson(value.at(7));
  query.waited = Duration(value.at(8).get<int64_t>());
  query.statement_id = value.at(9);
  // Absent without customers, and from earlier versions of this program.
  if (value.size() > 12) {
    query.customer.value = NameFromJson(value.at(10));
    query.customer_priority = value.at(11);
    query.customer_weight = value.at(12);
  }
  return query;
}

json ToJson(const ForwardAnswer& answer) {
  return json::array({answer.is_accepted, ToJson(answer.answer), answer.is_open,
                      answer.primary_silence.count()});
}

ForwardAnswer ForwardAnswerFromJson(const json& value) {
  return ForwardAnswer{value.at(0), StatementAnswerFromJson(value.at(1)),
                       value.at(2), Duration(value.at(3).get<int64_t>())};
}

json ToJson(const ContinueQuery& query) {
  return json::array({query.name, query.sequence, static_cast<int>(query.step),
                      ToJson(query.command), ToJson(query.values)});
}

ContinueQuery ContinueQueryFromJson(const json& value) {
  ContinueQuery query;
  query.name = value.at(0);
  query.sequence = value.at(1);
  query.step = EnumFromJson(value.at(2), TransactionStep::kCommit);
  query.command = CommandFromJson(value.at(3));
  query.values = ValuesFromJson(value.at(4));
  return query;
}

json ToJson(const ContinueAnswer& answer) {
  return json::array(
      {answer.is_known, ToJson(answer.answer), ToJson(answer.committed)});
}

ContinueAnswer ContinueAnswerFromJson(const json& value) {
  return ContinueAnswer{value.at(0), StatementAnswerFromJson(value.at(1)),
                        PointFromJson(value.at(2))};
}

}  // namespace kingcupmill
