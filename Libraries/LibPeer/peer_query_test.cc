#include "LibPeer/peer_query.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <limits>
#include <nlohmann/json.hpp>

namespace kingcupmill {

namespace {

template <typename Query>
Query EncodeAndDecode(const Query& query) {
  const auto decoded = DecodePeerBytes(EncodeQuery(7, query));
  REQUIRE(decoded.has_value());
  return std::get<Query>(std::get<NumberedQuery>(*decoded).query);
}

template <typename Answer>
Answer EncodeAndDecodeAnswer(const Answer& answer) {
  const auto decoded = DecodePeerBytes(EncodeAnswer(7, answer));
  REQUIRE(decoded.has_value());
  return std::get<Answer>(std::get<NumberedAnswer>(*decoded).answer);
}

}  // namespace

TEST_CASE("messages between proxies") {
  SUBCASE("arrive as they were sent") {
    SUBCASE("a query to stop using a primary, and its answer") {
      ClosePrimaryQuery query;
      query.record.group.value = "orders";
      query.record.term.value = 4;
      query.record.primary.value = "a";
      query.record.state = PrimaryState::kClosing;
      query.record.is_planned = true;
      query.record.version = MakeStoreVersion(2, 99);
      CHECK(EncodeAndDecode(query).record == query.record);
      const auto answer = EncodeAndDecodeAnswer(
          ClosePrimaryAnswer{true, std::chrono::milliseconds(70)});
      CHECK(answer.has_stopped);
      CHECK(answer.primary_answer_age == std::chrono::milliseconds(70));
    }

    SUBCASE("the health of a group") {
      HealthAnswer sent;
      sent.incarnation = "one";
      sent.primary_silence = std::chrono::milliseconds(500);
      sent.primary_answer_age = std::chrono::milliseconds(900);
      sent.has_recent_replica_answer = true;
      const HealthAnswer received = EncodeAndDecodeAnswer(sent);
      CHECK(received.incarnation == "one");
      CHECK(received.primary_silence == sent.primary_silence);
      CHECK(received.primary_answer_age == sent.primary_answer_age);
      CHECK(received.has_recent_replica_answer);
      CHECK_FALSE(received.knowledge.has_value());
    }

    SUBCASE("what a proxy knows of a primary's record") {
      RecordKnowledge knowledge;
      knowledge.era = 3;
      knowledge.has_earlier_era = true;
      knowledge.may_have_order = true;
      knowledge.was_coordinator = true;
      knowledge.process_age = std::chrono::milliseconds(40);
      PrimaryRecord record;
      record.group.value = "orders";
      record.term.value = 4;
      record.primary.value = "a";
      record.state = PrimaryState::kClosing;
      record.is_planned = true;
      record.promotion_target.value = "b";
      record.version = MakeStoreVersion(2, 99);
      knowledge.earlier = record;
      HealthAnswer sent;
      sent.knowledge = knowledge;
      const HealthAnswer received = EncodeAndDecodeAnswer(sent);
      REQUIRE(received.knowledge.has_value());
      CHECK(received.knowledge->era == 3);
      CHECK(received.knowledge->has_earlier_era);
      CHECK(received.knowledge->may_have_order);
      CHECK(received.knowledge->was_coordinator);
      CHECK(received.knowledge->process_age == std::chrono::milliseconds(40));
      CHECK(received.knowledge->earlier == record);
    }

    SUBCASE("copies of the store's tables, with rows or without") {
      StoreCopyAnswer sent;
      TableCopy changed;
      changed.table = "t";
      changed.version = MakeStoreVersion(2, 12);
      changed.age = std::chrono::milliseconds(3);
      changed.delta = TableDelta{
          TableRows{{StoreRow{"key", "value", MakeStoreVersion(2, 11), false},
                     StoreRow{"gone", "", MakeStoreVersion(2, 12), true}},
                    changed.version},
          false};
      TableCopy unchanged;
      unchanged.table = "u";
      unchanged.version = 5;
      sent.tables = {changed, unchanged};
      sent.position_samples = {PositionSampleCopy{
          GroupName{"orders"}, LogPoint{Term{2}, Position{70}},
          std::chrono::milliseconds(40)}};
      sent.held = std::chrono::milliseconds(1700);
      const StoreCopyAnswer received = EncodeAndDecodeAnswer(sent);
      CHECK(received.held == sent.held);
      REQUIRE(received.tables.size() == 2);
      CHECK(received.tables[0].version == changed.version);
      CHECK(received.tables[0].delta->rows.rows == changed.delta->rows.rows);
      CHECK_FALSE(received.tables[0].delta->is_snapshot);
      CHECK(received.tables[0].age == changed.age);
      CHECK_FALSE(received.tables[1].delta.has_value());
      CHECK(received.position_samples[0].position ==
            sent.position_samples[0].position);
    }

    SUBCASE("a change in the store, and its outcome") {
      TableChange change;
      change.expected.push_back({"duty", MakeStoreVersion(2, 4)});
      change.puts.push_back({"duty", "mine"});
      change.removals.push_back("old");
      const auto query = EncodeAndDecode(StoreChangeQuery{"t", change});
      CHECK(query.change.expected[0].version == MakeStoreVersion(2, 4));
      CHECK(query.change.puts[0].value == "mine");
      CHECK(query.change.removals == change.removals);
      const uint64_t version = MakeStoreVersion(2, 9);
      CHECK(EncodeAndDecodeAnswer(StoreChangeAnswer{true, true, version})
                .version == version);
    }

    SUBCASE("the versions of the copies that a proxy has") {
      const std::vector<uint64_t> versions = {MakeStoreVersion(2, 7),
                                              MakeStoreVersion(1, 90), 0};
      CHECK(EncodeAndDecode(StoreCopyQuery{versions, Duration(0)}).versions ==
            versions);
    }

    SUBCASE("a query for tokens of a usage limit, and its answer") {
      UsageQuery query;
      query.customer.value = "acme";
      query.proxy = "10.0.0.1:7000";
      query.wanted = 12;
      query.offline_rate = 2.5;
      query.used_rate = 1.25;
      query.used_offline = 7.5;
      query.process_age = std::chrono::milliseconds(900);
      const UsageQuery received = EncodeAndDecode(query);
      CHECK(received.customer == query.customer);
      CHECK(received.proxy == query.proxy);
      CHECK(received.wanted == 12);
      CHECK(received.offline_rate == 2.5);
      CHECK(received.used_rate == 1.25);
      CHECK(received.used_offline == 7.5);
      CHECK(received.process_age == query.process_age);
      UsageAnswer answer;
      answer.is_holder = true;
      answer.is_granting = true;
      answer.granted = 3;
      answer.offline_rate = 0.5;
      answer.wait = std::chrono::milliseconds(40);
      const UsageAnswer answered = EncodeAndDecodeAnswer(answer);
      CHECK(answered.is_holder);
      CHECK(answered.is_granting);
      CHECK(answered.granted == 3);
      CHECK(answered.offline_rate == 0.5);
      CHECK(answered.wait == answer.wait);
      // A rate that is not a number would spread through the account's sums.
      query.used_rate = std::numeric_limits<double>::quiet_NaN();
      CHECK_FALSE(DecodePeerBytes(EncodeQuery(7, query)).has_value());
    }

    SUBCASE("a query that pools offline rates, and its answer") {
      UsagePoolQuery query;
      query.customer.value = "acme";
      query.deposit = 0.25;
      query.wanted = 2;
      const UsagePoolQuery received = EncodeAndDecode(query);
      CHECK(received.customer == query.customer);
      CHECK(received.deposit == 0.25);
      CHECK(received.wanted == 2);
      CHECK(EncodeAndDecodeAnswer(UsagePoolAnswer{3}).granted == 3);
    }

    SUBCASE("statements over a lent connection") {
      TargetCommand command;
      command.kind = TargetCommandKind::kExecute;
      command.request_id = "id";
      command.required_position = LogPoint{Term{1}, Position{9}};
      command.name = "r.shape";
      command.value = "item data";
      command.shape = PreparedShape{StatementAccess::kWrite, "shape"};
      const auto query = EncodeAndDecode(
          RelayQuery{"loan", 3, {command}, std::chrono::milliseconds(800)});
      REQUIRE(query.commands.size() == 1);
      CHECK(query.sequence == 3);
      CHECK(query.commands[0].required_position == command.required_position);
      CHECK(query.commands[0].shape == command.shape);
      CHECK(query.commands[0].value == command.value);

      StatementAnswer entry;
      entry.rows = {"one", "two"};
      entry.receipt = "receipt";
      entry.state = SessionState::kInTransaction;
      entry.error = StatementError{StatementErrorCode::kLagging, "why"};
      const auto answer = EncodeAndDecodeAnswer(RelayAnswer{false, {entry}});
      REQUIRE(answer.answers.size() == 1);
      CHECK(answer.answers[0].rows == entry.rows);
      CHECK(answer.answers[0].receipt == entry.receipt);
      CHECK(answer.answers[0].state == entry.state);
      CHECK(answer.answers[0].error->code == StatementErrorCode::kLagging);
    }
  }

  SUBCASE("that forward a statement arrive as they were sent") {
    CHECK(rc::check("any bytes in a text",
                    [](const std::string& text, const std::string& value,
                       uint16_t priority, bool is_write) {
                      ForwardQuery sent;
                      sent.name = "sender.1";
                      sent.route.kind = RouteKind::kReadYourWrites;
                      sent.route.group.value = "orders";
                      sent.route.priority = priority;
                      sent.route.maximum_staleness =
                          std::chrono::milliseconds(1500);
                      sent.command.text = text;
                      sent.statement_id = "id";
                      sent.is_write = is_write;
                      sent.values = {{"zone", std::to_string(value.size())}};
                      sent.session_point = LogPoint{Term{2}, Position{70}};
                      sent.waited = std::chrono::milliseconds(12);
                      const ForwardQuery received = EncodeAndDecode(sent);
                      RC_ASSERT(received.route == sent.route);
                      RC_ASSERT(received.command.text == text);
                      RC_ASSERT(received.statement_id == sent.statement_id);
                      RC_ASSERT(received.is_write == is_write);
                      RC_ASSERT(received.values == sent.values);
                      RC_ASSERT(received.session_point == sent.session_point);
                      RC_ASSERT(received.waited == sent.waited);
                    }));
    ContinueQuery next;
    next.name = "sender.1";
    next.sequence = 4;
    next.step = TransactionStep::kCommit;
    const ContinueQuery received = EncodeAndDecode(next);
    CHECK(received.sequence == 4);
    CHECK(received.step == TransactionStep::kCommit);
    const auto answer = EncodeAndDecodeAnswer(
        ContinueAnswer{true, {}, LogPoint{Term{1}, Position{3}}});
    CHECK(answer.is_known);
    CHECK(answer.committed == LogPoint{Term{1}, Position{3}});
  }

  SUBCASE("that promise to start no handover arrive as they were sent") {
    EncodeAndDecode(PromiseQuery{});
    const PromiseAnswer sent{
        "run-1", std::chrono::milliseconds(1500), {{GroupName{"orders"}, 7}}};
    const PromiseAnswer received = EncodeAndDecodeAnswer(sent);
    CHECK(received.incarnation == sent.incarnation);
    CHECK(received.duration == sent.duration);
    CHECK(received.version_by_group == sent.version_by_group);
  }

  SUBCASE("that are malformed are rejected without a crash") {
    CHECK(rc::check("any bytes", [](const std::vector<uint8_t>& bytes) {
      // Must not crash; random bytes may happen to be a valid message.
      (void)DecodePeerBytes(bytes);
    }));
    auto bytes = EncodeQuery(1, HealthQuery{GroupName{"orders"}});
    bytes.resize(bytes.size() - 2);
    CHECK_FALSE(DecodePeerBytes(bytes).has_value());
  }

  // Guards against a name that ends the process when it is written into a JSON
  // text for the store or the platform.
  SUBCASE("that have a name in another encoding are rejected") {
    constexpr const char* kOdd = "a\xff";
    const auto is_rejected = [](const std::vector<uint8_t>& bytes) {
      return !DecodePeerBytes(bytes).has_value();
    };
    StoreChangeQuery change;
    change.change.puts.push_back({kOdd, "value"});
    CHECK(is_rejected(EncodeQuery(1, change)));
    change.change = TableChange{};
    change.change.expected.push_back({kOdd, 1});
    CHECK(is_rejected(EncodeQuery(1, change)));
    change.change = TableChange{};
    change.change.removals.push_back(kOdd);
    CHECK(is_rejected(EncodeQuery(1, change)));
    change = StoreChangeQuery{kOdd, TableChange{}};
    CHECK(is_rejected(EncodeQuery(1, change)));
    HealthAnswer health;
    health.knowledge.emplace();
    health.knowledge->earlier.emplace();
    health.knowledge->earlier->primary.value = kOdd;
    CHECK(is_rejected(EncodeAnswer(1, health)));
    ClosePrimaryQuery close;
    close.record.group.value = kOdd;
    CHECK(is_rejected(EncodeQuery(1, close)));
    StoreCopyAnswer copies;
    copies.tables.emplace_back();
    copies.tables[0].delta.emplace();
    copies.tables[0].delta->rows.rows.push_back(StoreRow{kOdd, "", 1, false});
    CHECK(is_rejected(EncodeAnswer(1, copies)));
    // A value may have any bytes.
    copies.tables[0].delta->rows.rows[0] = StoreRow{"a", kOdd, 1, false};
    CHECK_FALSE(is_rejected(EncodeAnswer(1, copies)));
  }

  // Guards against one text that is taken for a list of them.
  SUBCASE("that have a text in the place of a list are rejected") {
    using nlohmann::json;
    const auto is_rejected = [](const json& body) {
      return !DecodePeerBytes(json::to_cbor(json::array({1, body})))
                  .has_value();
    };
    StatementAnswer answer;
    answer.rows = {"a"};
    json relayed =
        json::from_cbor(EncodeAnswer(1, RelayAnswer{false, {answer}}))[1];
    CHECK_FALSE(is_rejected(relayed));
    relayed[2][0][0] = "a";
    CHECK(is_rejected(relayed));
    json change = json::from_cbor(EncodeQuery(1, StoreChangeQuery{}))[1];
    CHECK_FALSE(is_rejected(change));
    change[4] = "a";
    CHECK(is_rejected(change));
  }

  // Guards against an answer that adds lines to those of a caller.
  SUBCASE("that have a line end in an answer are rejected") {
    const auto is_rejected = [](const StatementAnswer& answer) {
      ForwardAnswer forwarded;
      forwarded.answer = answer;
      return !DecodePeerBytes(EncodeAnswer(1, forwarded)).has_value();
    };
    StatementAnswer answer;
    answer.rows = {"a\tb\n", "\xff"};
    answer.receipt = "r";
    CHECK_FALSE(is_rejected(answer));
    answer.rows = {"a", "b\r\nCOMPLETE x"};
    CHECK(is_rejected(answer));
    answer.rows.clear();
    answer.receipt = "r\r\n";
    CHECK(is_rejected(answer));
    answer.receipt.clear();
    answer.error = StatementError{StatementErrorCode::kFailed, "a\r\nb"};
    CHECK(is_rejected(answer));
  }

  // Guards against a message that overflows the stack of the event loop.
  SUBCASE("that are nested too deeply are rejected without a crash") {
    CHECK_FALSE(
        DecodePeerBytes(std::vector<uint8_t>(2'000'000, 0x81)).has_value());
  }
}

}  // namespace kingcupmill
