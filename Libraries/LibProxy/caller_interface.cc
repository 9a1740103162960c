#include "LibProxy/caller_interface.h"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>
#include <vector>

#include "LibRequests/request_ledger.h"
#include "LibSql/sql_json.h"

namespace kingcupmill {

using nlohmann::json;

namespace {

constexpr std::string_view kPathPrefix = "/v1/";
constexpr std::string_view kOutcomePrefix = "/v1/requests/";
constexpr const char* kSessionHeader = "Kingcupmill-Session";
constexpr const char* kApplicationHeader = "Kingcupmill-Application";
constexpr const char* kIdempotencyKeyHeader = "Idempotency-Key";
constexpr size_t kMaximumKeyLength = 128;
constexpr size_t kMaximumParameters = 1000;
constexpr int64_t kMaximumDeadlineMs = 60'000;
constexpr int64_t kMaximumAgeMs = 60'000;

tl::unexpected<Error> Invalid(std::string message) {
  return Fail(ErrorCode::kInvalidInput, std::move(message));
}

bool is_valid_key(std::string_view key) {
  return !key.empty() && key.size() <= kMaximumKeyLength &&
         std::all_of(key.begin(), key.end(), [](unsigned char character) {
           return std::isalnum(character) || character == '-' ||
                  character == '_' || character == '.';
         });
}

std::vector<std::string> SplitPath(std::string_view path) {
  std::vector<std::string> parts;
  while (!path.empty()) {
    const size_t slash = path.find('/');
    parts.emplace_back(path.substr(0, slash));
    if (slash == std::string_view::npos)
      break;
    path.remove_prefix(slash + 1);
  }
  return parts;
}

bool mentions_reserved_table(std::string_view text) {
  const auto found = std::search(
      text.begin(), text.end(), kReservedTablePrefix.begin(),
      kReservedTablePrefix.end(), [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
      });
  return found != text.end();
}

uint16_t StatusOf(const ClientAnswer& answer) {
  switch (answer.error) {
    case ClientError::kNone:
      return 200;
    case ClientError::kInvalidRequest:
    case ClientError::kInvalidToken:
    case ClientError::kSqlError:
      return 400;
    case ClientError::kNotGranted:
      return 403;
    case ClientError::kNoSuchGroup:
    case ClientError::kNoSuchTransaction:
      return 404;
    case ClientError::kTransactionBusy:
    case ClientError::kRequestIdReused:
      return 409;
    case ClientError::kOverloaded:
      return 429;
    case ClientError::kUnavailable:
    case ClientError::kDraining:
    case ClientError::kNotHome:
      return 503;
    case ClientError::kOutcomeUnknown:
      return 504;
  }
  return 500;
}

}  // namespace

CallerInterface::CallerInterface(TokenCodec codec,
                                 uint64_t seed,
                                 Execute execute)
    : codec(std::move(codec)), random(seed), execute(std::move(execute)) {}

bool CallerInterface::is_responsible(std::string_view path) {
  return path.starts_with(kPathPrefix);
}

void CallerInterface::Handle(const HttpRequest& http,
                             SendResponse send_response) {
  auto parsed = Capture([&] { return this->Parse(http); });
  if (const auto* error = std::get_if<Error>(&parsed)) {
    const bool is_token_error = error->message.starts_with("the session token");
    ClientAnswer answer = NotRun(is_token_error ? ClientError::kInvalidToken
                                                : ClientError::kInvalidRequest,
                                 error->message);
    // A malformed outcome query says nothing about the earlier request.
    if (http.path.starts_with(kOutcomePrefix))
      answer.outcome = Outcome::kUnknown;
    HttpResponse response = this->Render(answer, SessionToken{}, GroupName{});
    if (error->code == ErrorCode::kNotFound)
      response.status = 404;
    if (error->code == ErrorCode::kConflict)
      response.status = 405;
    return send_response(std::move(response));
  }
  ParsedRequest& caller = std::get<ParsedRequest>(parsed);
  const GroupName group = caller.request.group;
  this->execute(
      std::move(caller.request),
      [this, group, token = std::move(caller.token),
       send_response = std::move(send_response)](const ClientAnswer& answer) {
        send_response(this->Render(answer, token, group));
      });
}

Result<CallerInterface::ParsedRequest> CallerInterface::Parse(
    const HttpRequest& http) {
  ParsedRequest parsed;
  ClientRequest& request = parsed.request;
  request.application.value = http.header(kApplicationHeader);
  if (request.application.value.empty())
    return Invalid("the header Kingcupmill-Application is missing");
  KINGCUPMILL_RETURN_IF_ERROR(this->ParseRoute(http, request));
  if (http.method == "POST")
    KINGCUPMILL_RETURN_IF_ERROR(this->ParseBody(http, request));
  if (request.group.value.empty())
    return Invalid("\"group\" is missing");
  const std::string_view token = http.header(kSessionHeader);
  if (!token.empty()) {
    KINGCUPMILL_TRY_ASSIGN(parsed.token, this->codec.Decode(token));
  }
  const auto point = parsed.token.points.find(request.group);
  if (point != parsed.token.points.end())
    request.session_point = point->second;
  const std::string_view key = http.header(kIdempotencyKeyHeader);
  if (!key.empty() && !is_valid_key(key)) {
    return Invalid(
        "Idempotency-Key is not 1 to 128 letters, digits, -, _ or "
        ".");
  }
  if (request.request_id.value.empty())
    request.request_id = this->MakeRequestId(request, key);
  return parsed;
}

RequestId CallerInterface::MakeRequestId(const ClientRequest& request,
                                         std::string_view key) {
  std::string text(key);
  if (text.empty()) {
    text = "auto-" + std::to_string(this->random.Below(UINT64_MAX)) + "-" +
           std::to_string(this->random.Below(UINT64_MAX));
  }
  return RequestId{request.application.value + ":" + text};
}

Result<void> CallerInterface::ParseRoute(const HttpRequest& http,
                                         ClientRequest& request) {
  const std::vector<std::string> parts =
      SplitPath(std::string_view(http.path).substr(kPathPrefix.size()));
  const size_t count = parts.size();
  const bool is_statements = count == 1 && parts[0] == "statements";
  const bool is_begin = count == 1 && parts[0] == "transactions";
  const bool is_in_transaction = count == 3 && parts[0] == "transactions";
  const bool is_outcome_query = count == 3 && parts[0] == "requests";
  if (!is_statements && !is_begin && !is_in_transaction && !is_outcome_query)
    return Fail(ErrorCode::kNotFound, "there is no such path");
  const std::string_view expected_method = is_outcome_query ? "GET" : "POST";
  if (http.method != expected_method) {
    return Fail(ErrorCode::kConflict,
                "this path takes " + std::string(expected_method));
  }
  if (is_statements) {
    request.operation = ClientOperation::kWrite;
  } else if (is_begin) {
    request.operation = ClientOperation::kBegin;
  } else if (is_outcome_query) {
    request.operation = ClientOperation::kGetOutcome;
    request.group = GroupName{parts[1]};
    if (!is_valid_key(parts[2]))
      return Invalid("the request id in the path is malformed");
    request.request_id = RequestId{request.application.value + ":" + parts[2]};
  } else {
    request.transaction = TransactionId{parts[1]};
    if (parts[2] == "statements")
      request.operation = ClientOperation::kExecute;
    else if (parts[2] == "commit")
      request.operation = ClientOperation::kCommit;
    else if (parts[2] == "rollback")
      request.operation = ClientOperation::kRollback;
    else
      return Fail(ErrorCode::kNotFound, "there is no such path");
  }
  return {};
}

namespace {

// Parses a number of milliseconds between 0 and `maximum`.
Result<Duration> ParseMilliseconds(const json& value,
                                   const std::string& key,
                                   int64_t maximum) {
  if (!value.is_number_integer())
    return Invalid("\"" + key + "\" is not a whole number");
  const auto number = value.get<int64_t>();
  if (number < 0 || number > maximum) {
    return Invalid("\"" + key + "\" is not between 0 and " +
                   std::to_string(maximum));
  }
  return Duration(Milliseconds(number));
}

Result<void> ParseParameters(const json& value, Statement& statement) {
  if (!value.is_array() || value.size() > kMaximumParameters)
    return Invalid("\"parameters\" is not an array of at most 1000 values");
  for (const json& parameter : value) {
    if (parameter.is_structured())
      return Invalid("\"parameters\" holds a value that is not a scalar");
    statement.parameters.push_back(SqlValueFromJson(parameter));
  }
  return {};
}

Result<void> ParseField(const std::string& key,
                        const json& value,
                        ClientRequest& request) {
  if (key == "group" || key == "sql" || key == "access") {
    if (!value.is_string())
      return Invalid("\"" + key + "\" is not a string");
  }
  if (key == "group") {
    request.group.value = value.get<std::string>();
  } else if (key == "sql") {
    request.statement.text = value.get<std::string>();
  } else if (key == "parameters") {
    return ParseParameters(value, request.statement);
  } else if (key == "repeatable") {
    if (!value.is_boolean())
      return Invalid("\"repeatable\" is not true or false");
    request.repeatability = value.get<bool>() ? Repeatability::kRepeatable
                                              : Repeatability::kNotRepeatable;
  } else if (key == "deadline_ms") {
    KINGCUPMILL_TRY_ASSIGN(request.time_left,
                           ParseMilliseconds(value, key, kMaximumDeadlineMs));
  } else if (key == "max_age_ms") {
    KINGCUPMILL_TRY_ASSIGN(request.maximum_age,
                           ParseMilliseconds(value, key, kMaximumAgeMs));
  } else if (key != "access") {
    return Invalid("\"" + key + "\" is not a known field");
  }
  return {};
}

Result<Access> ParseAccess(const json& body, const ClientRequest& request) {
  const auto access = body.find("access");
  if (access == body.end())
    return ClassifyStatement(request.statement.text);
  const auto text = access->get<std::string>();
  if (text == "read")
    return Access::kRead;
  if (text == "write")
    return Access::kWrite;
  return Invalid("\"access\" is neither \"read\" nor \"write\"");
}

}  // namespace

Result<void> CallerInterface::ParseBody(const HttpRequest& http,
                                        ClientRequest& request) {
  const json body = http.body.empty() ? json::object()
                                      : json::parse(http.body, nullptr, false);
  if (!body.is_object())
    return Invalid("the body is not a JSON object");
  for (const auto& [key, value] : body.items())
    KINGCUPMILL_RETURN_IF_ERROR(ParseField(key, value, request));
  const bool is_statement = request.operation == ClientOperation::kWrite;
  if (is_statement || request.operation == ClientOperation::kExecute) {
    if (request.statement.text.empty())
      return Invalid("\"sql\" is missing");
    if (mentions_reserved_table(request.statement.text))
      return Invalid("tables named kingcupmill_* are reserved");
  }
  if (is_statement) {
    KINGCUPMILL_TRY(access, ParseAccess(body, request));
    if (access == Access::kRead)
      request.operation = ClientOperation::kRead;
  }
  return {};
}

HttpResponse CallerInterface::Render(const ClientAnswer& answer,
                                     SessionToken token,
                                     const GroupName& group) const {
  HttpResponse response;
  response.status = StatusOf(answer);
  json body = {{"outcome", ToString(answer.outcome)}};
  if (answer.error != ClientError::kNone) {
    body["error"] = {{"code", ToString(answer.error)},
                     {"message", answer.message}};
  } else {
    body.update(json(answer.result));
    body["target"] = answer.target.value;
    body["role"] = answer.is_from_primary ? "primary" : "replica";
  }
  if (answer.is_replayed)
    body["replayed"] = true;
  if (!answer.transaction.value.empty())
    body["transaction"] = answer.transaction.value;
  const size_t colon = answer.request_id.value.find(':');
  if (colon != std::string::npos)
    body["request_id"] = answer.request_id.value.substr(colon + 1);
  if (answer.retry_after > Duration(0)) {
    const int64_t seconds =
        std::max<int64_t>(1, ToMilliseconds(answer.retry_after) / 1000);
    response.headers.push_back({"Retry-After", std::to_string(seconds)});
    body["retry_after_ms"] = ToMilliseconds(answer.retry_after);
  }
  if (answer.point)
    token.Advance(group, *answer.point);
  if (!token.points.empty())
    response.headers.push_back({kSessionHeader, this->codec.Encode(token)});
  response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  return response;
}

}  // namespace kingcupmill
