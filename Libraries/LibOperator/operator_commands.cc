#include "LibOperator/operator_commands.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "LibArrangement/arrangement_parser.h"
#include "LibArrangement/declaration_folder.h"
#include "LibConfiguration/publisher.h"
#include "LibOperator/arrangement_diff.h"
#include "LibWire/http_client.h"
#include "LibWire/percent_encoding.h"

namespace kingcupmill {

using nlohmann::json;

namespace {

CommandOutput Output(std::string text, CommandExit exit) {
  return CommandOutput{std::move(text), static_cast<int>(exit)};
}

// The parsed declarations of a folder, with the errors found in them.
struct CheckedFolder {
  Arrangement arrangement;
  std::vector<SettingError> errors;
};

Result<CheckedFolder> CheckFolder(const std::string& folder) {
  KINGCUPMILL_TRY(files, ReadDeclarationFolder(folder));
  CheckedFolder checked;
  checked.arrangement = ArrangementParser::Parse(files, checked.errors);
  return checked;
}

CommandOutput FormatErrorOutput(const std::vector<SettingError>& errors,
                                OutputFormat format) {
  std::string text;
  if (format == OutputFormat::kTable) {
    text = FormatErrors(errors);
  } else {
    json list = json::array();
    for (const SettingError& error : errors) {
      list.push_back({{"file", error.location.file},
                      {"line", error.location.line},
                      {"key", error.key},
                      {"message", error.message}});
    }
    text = json{{"errors", list}}.dump(2) + "\n";
  }
  return Output(std::move(text), CommandExit::kInvalidDeclarations);
}

const char* ToString(ObjectChange::Kind kind) {
  switch (kind) {
    case ObjectChange::Kind::kAdded:
      return "added";
    case ObjectChange::Kind::kRemoved:
      return "removed";
    case ObjectChange::Kind::kChanged:
      return "changed";
  }
  return "changed";
}

std::string MakeChangeId() {
  std::random_device source;
  return fmt::format("{:08x}{:08x}", source(), source());
}

HttpRequest MakeRequest(const char* method, std::string path) {
  HttpRequest request;
  request.method = method;
  request.path = std::move(path);
  return request;
}

CommandExit ExitCodeFor(const json& answer) {
  const std::string outcome = answer.value("outcome", "unknown");
  if (outcome == "ran")
    return CommandExit::kOk;
  return outcome == "not_run" ? CommandExit::kNotRun : CommandExit::kUnknown;
}

// Formats the rows of a response as a table, or its error.
std::string FormatResponse(const json& answer) {
  const std::string outcome = answer.value("outcome", "unknown");
  if (answer.contains("error")) {
    return outcome + ": " + answer["error"].value("message", "") + "\n";
  }
  std::string text;
  for (const json& column : answer.value("columns", json::array()))
    text += column.get<std::string>() + "\t";
  if (!text.empty())
    text.back() = '\n';
  for (const json& row : answer.value("rows", json::array())) {
    for (const json& value : row)
      text +=
          (value.is_string() ? value.get<std::string>() : value.dump()) + "\t";
    text += "\n";
  }
  return text + fmt::format("{} ({} rows affected, {} {})\n", outcome,
                            answer.value("rows_affected", 0),
                            answer.value("role", ""),
                            answer.value("target", ""));
}

}  // namespace

OperatorCommands::OperatorCommands(std::string platform_address,
                                   Duration timeout,
                                   OutputFormat format)
    : platform(std::move(platform_address), timeout),
      timeout(timeout),
      format(format) {}

Result<CommandOutput> OperatorCommands::Validate(const std::string& folder) {
  KINGCUPMILL_TRY(checked, CheckFolder(folder));
  if (!checked.errors.empty())
    return FormatErrorOutput(checked.errors, this->format);
  const Arrangement& arrangement = checked.arrangement;
  const json counts = {{"places", arrangement.places.size()},
                       {"groups", arrangement.groups.size()},
                       {"targets", arrangement.targets.size()},
                       {"applications", arrangement.applications.size()}};
  if (this->format == OutputFormat::kJson)
    return Output(counts.dump(2) + "\n", CommandExit::kOk);
  return Output(
      fmt::format("valid: {} places, {} groups, {} targets, {} applications\n",
                  arrangement.places.size(), arrangement.groups.size(),
                  arrangement.targets.size(), arrangement.applications.size()),
      CommandExit::kOk);
}

Result<ChangeRecord> OperatorCommands::ReadHead() {
  KINGCUPMILL_TRY(row, this->platform.ReadRow(kHeadKey));
  return DecodeChangeRecord(row.value);
}

Result<std::string> OperatorCommands::ReadDeclarations(
    const ChangeRecord& head) {
  if (head.revision.value == 0)
    return std::string();
  return this->platform.ReadBlob(head.digest);
}

Result<CommandOutput> OperatorCommands::Diff(const std::string& folder) {
  KINGCUPMILL_TRY(checked, CheckFolder(folder));
  if (!checked.errors.empty())
    return FormatErrorOutput(checked.errors, this->format);
  KINGCUPMILL_TRY(head, this->ReadHead());
  KINGCUPMILL_TRY(text, this->ReadDeclarations(head));
  std::vector<SettingError> errors;
  const DeclarationFile file{"in force", text};
  const Arrangement current =
      ArrangementParser::Parse(std::span(&file, 1), errors);
  const auto changes = DiffArrangements(current, checked.arrangement);
  const auto exit =
      changes.empty() ? CommandExit::kOk : CommandExit::kDifferent;
  if (this->format == OutputFormat::kJson) {
    json list = json::array();
    for (const ObjectChange& change : changes) {
      list.push_back({{"change", ToString(change.kind)},
                      {"kind", change.object_kind},
                      {"name", change.name}});
    }
    const json body = {{"revision", head.revision.value}, {"changes", list}};
    return Output(body.dump(2) + "\n", exit);
  }
  std::string table = fmt::format("against revision {}\n", head.revision.value);
  for (const ObjectChange& change : changes) {
    table += fmt::format("{:<8} {:<12} {}\n", ToString(change.kind),
                         change.object_kind, change.name);
  }
  if (changes.empty())
    table += "no difference\n";
  return Output(std::move(table), exit);
}

CommandOutput OperatorCommands::FormatChange(const ChangeRecord& record,
                                             const char* result) const {
  const bool is_conflict = std::string_view(result) == "conflict";
  const auto exit = is_conflict ? CommandExit::kConflict : CommandExit::kOk;
  if (this->format == OutputFormat::kJson) {
    const json body = {{"result", result},
                       {"revision", record.revision.value},
                       {"digest", record.digest},
                       {"change_id", record.change_id},
                       {"author", record.author}};
    return Output(body.dump(2) + "\n", exit);
  }
  if (is_conflict) {
    return Output(
        fmt::format("conflict: revision {} by {} (change {}) is in "
                    "force; nothing was published\n",
                    record.revision.value, record.author, record.change_id),
        exit);
  }
  return Output(fmt::format("{}: revision {}\n", result, record.revision.value),
                exit);
}

Result<CommandOutput> OperatorCommands::Apply(const std::string& folder,
                                              std::optional<uint64_t> base,
                                              std::string change_id,
                                              const std::string& author) {
  KINGCUPMILL_TRY(checked, CheckFolder(folder));
  if (!checked.errors.empty())
    return FormatErrorOutput(checked.errors, this->format);
  if (!base) {
    KINGCUPMILL_TRY(head, this->ReadHead());
    base = head.revision.value;
  }
  if (change_id.empty())
    change_id = MakeChangeId();
  Publisher<HttpPlatformClient> publisher(this->platform);
  KINGCUPMILL_TRY(outcome,
                  publisher.Publish(WriteArrangement(checked.arrangement),
                                    Revision{*base}, change_id, author));
  switch (outcome.kind) {
    case PublishOutcome::Kind::kPublished:
      return this->FormatChange(outcome.record, "published");
    case PublishOutcome::Kind::kUnchanged:
      return this->FormatChange(outcome.record, "unchanged");
    case PublishOutcome::Kind::kConflict:
      return this->FormatChange(outcome.record, "conflict");
  }
  return Fail(ErrorCode::kInternal, "unreachable");
}

Result<CommandOutput> OperatorCommands::Get() {
  KINGCUPMILL_TRY(head, this->ReadHead());
  KINGCUPMILL_TRY(text, this->ReadDeclarations(head));
  if (this->format == OutputFormat::kJson) {
    const json body = {{"revision", head.revision.value},
                       {"digest", head.digest},
                       {"declarations", text}};
    return Output(body.dump(2) + "\n", CommandExit::kOk);
  }
  return Output(fmt::format("# revision {}\n", head.revision.value) + text,
                CommandExit::kOk);
}

Result<CommandOutput> OperatorCommands::History(size_t limit) {
  Publisher<HttpPlatformClient> publisher(this->platform);
  KINGCUPMILL_TRY(history, publisher.History(limit));
  json list = json::array();
  std::string table = fmt::format("{:<9} {:<18} {:<16} {}\n", "revision",
                                  "change", "author", "digest");
  for (const ChangeRecord& record : history) {
    list.push_back({{"revision", record.revision.value},
                    {"change_id", record.change_id},
                    {"author", record.author},
                    {"digest", record.digest}});
    table += fmt::format("{:<9} {:<18} {:<16} {}\n", record.revision.value,
                         record.change_id, record.author, record.digest);
  }
  const bool is_json = this->format == OutputFormat::kJson;
  return Output(is_json ? list.dump(2) + "\n" : table, CommandExit::kOk);
}

Result<CommandOutput> OperatorCommands::Status() {
  KINGCUPMILL_TRY(vms, this->platform.ListVms());
  json list = json::array();
  std::string table =
      fmt::format("{:<10} {:<14} {:<9} {:<10} {}\n", "vm", "place", "revision",
                  "state", "platform silence (ms)");
  for (const VmRecord& vm : vms) {
    if (vm.role != VmRole::kEntry)
      continue;
    HttpClient client(vm.http_address, this->timeout);
    auto outcome = Capture([&] {
      return client.SendAndWait(MakeRequest("GET", "/admin/status"));
    });
    const auto* response = std::get_if<HttpResponse>(&outcome);
    const json status =
        response ? json::parse(response->body, nullptr, false) : json();
    if (!status.is_object()) {
      list.push_back({{"vm", vm.name}, {"reachable", false}});
      table += fmt::format("{:<10} {:<14} {:<9} {:<10}\n", vm.name,
                           vm.place.value, "-", "no answer");
      continue;
    }
    list.push_back(status);
    const json silence = status.value("platform_silence_ms", json());
    table += fmt::format("{:<10} {:<14} {:<9} {:<10} {}\n", vm.name,
                         vm.place.value, status.value("revision", 0),
                         status.value("draining", false) ? "draining" : "ready",
                         silence.is_null() ? "never reached" : silence.dump());
  }
  const bool is_json = this->format == OutputFormat::kJson;
  return Output(is_json ? list.dump(2) + "\n" : table, CommandExit::kOk);
}

Result<CommandOutput> OperatorCommands::Explain(
    const std::string& proxy,
    const std::string& group,
    std::optional<int64_t> maximum_age_ms,
    std::optional<int64_t> position) {
  HttpClient client(proxy, this->timeout);
  HttpRequest request = MakeRequest("GET", "/admin/explain");
  request.query = "group=" + EncodeQueryValue(group);
  if (maximum_age_ms)
    request.query += "&max_age_ms=" + std::to_string(*maximum_age_ms);
  if (position)
    request.query += "&position=" + std::to_string(*position);
  KINGCUPMILL_TRY(response, client.SendAndWait(request));
  const json body = json::parse(response.body, nullptr, false);
  if (response.status != 200 || !body.is_object())
    return Fail(ErrorCode::kInvalidInput, response.body);
  if (this->format == OutputFormat::kJson)
    return Output(body.dump(2) + "\n", CommandExit::kOk);
  return Output(fmt::format("{} ({}): {}\n", body.value("route", ""),
                            body.value("role", "-"), body.value("reason", "")),
                CommandExit::kOk);
}

Result<CommandOutput> OperatorCommands::Drain(const std::string& proxy) {
  HttpClient client(proxy, this->timeout);
  KINGCUPMILL_TRY(response,
                  client.SendAndWait(MakeRequest("POST", "/admin/drain")));
  if (response.status != 200)
    return Fail(ErrorCode::kUnavailable, response.body);
  return Output(response.body + "\n", CommandExit::kOk);
}

Result<CommandOutput> OperatorCommands::Sql(const std::string& proxy,
                                            const SqlCommand& command) {
  json body = {{"group", command.group}, {"sql", command.text}};
  body["parameters"] = json::parse(command.parameters, nullptr, false);
  if (!body["parameters"].is_array())
    return Fail(ErrorCode::kInvalidInput,
                "the parameters are not a JSON array");
  if (command.maximum_age_ms)
    body["max_age_ms"] = *command.maximum_age_ms;
  HttpClient client(proxy, this->timeout);
  HttpRequest request = MakeRequest("POST", "/v1/statements");
  request.headers.push_back({"Kingcupmill-Application", command.application});
  if (!command.session.empty())
    request.headers.push_back({"Kingcupmill-Session", command.session});
  if (!command.key.empty())
    request.headers.push_back({"Idempotency-Key", command.key});
  request.body = body.dump();
  KINGCUPMILL_TRY(response, client.SendAndWait(request));
  const json answer = json::parse(response.body, nullptr, false);
  if (!answer.is_object())
    return Fail(ErrorCode::kUnavailable,
                "the proxy's response is not a JSON object");
  const std::string session(response.header("Kingcupmill-Session"));
  if (this->format == OutputFormat::kJson) {
    json printed = answer;
    printed["session"] = session;
    return Output(printed.dump(2) + "\n", ExitCodeFor(answer));
  }
  std::string text = FormatResponse(answer);
  if (!session.empty())
    text += "session " + session + "\n";
  return Output(std::move(text), ExitCodeFor(answer));
}

}  // namespace kingcupmill
