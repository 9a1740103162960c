#include "LibPlatform/http_platform_client.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "LibPlatform/vm_json.h"
#include "LibWire/http_client.h"
#include "LibWire/percent_encoding.h"

namespace kingcupmill {

using nlohmann::json;

namespace {

HttpRequest MakeRequest(const char* method, std::string path) {
  HttpRequest request;
  request.method = method;
  request.path = std::move(path);
  return request;
}

HttpRequest RowRequest(std::string_view key) {
  return MakeRequest("GET", "/table/" + EncodePath(key));
}

HttpRequest RowWriteRequest(std::string_view key,
                            std::string_view value,
                            uint64_t expected) {
  HttpRequest request = MakeRequest("PUT", "/table/" + EncodePath(key));
  request.query = "expected=" + std::to_string(expected);
  request.body = json{{"value", value}}.dump();
  return request;
}

HttpRequest BlobRequest(std::string_view digest) {
  return MakeRequest("GET", "/blobs/" + EncodePath(digest));
}

tl::unexpected<Error> UnexpectedStatus(const HttpResponse& response) {
  return Fail(ErrorCode::kUnavailable, "the platform responded with status " +
                                           std::to_string(response.status));
}

Result<PlatformRow> DecodeRow(const HttpResponse& response) {
  if (response.status == 404)
    return PlatformRow{};
  if (response.status != 200)
    return UnexpectedStatus(response);
  const json body = json::parse(response.body, nullptr, false);
  if (!body.is_object() || !body.contains("value") ||
      !body["value"].is_string() || !body.contains("version") ||
      !body["version"].is_number_unsigned()) {
    return Fail(ErrorCode::kInvalidInput,
                "the platform returned a malformed row");
  }
  return PlatformRow{body["value"].get<std::string>(),
                     body["version"].get<uint64_t>()};
}

Result<WriteOutcome> DecodeWrite(const HttpResponse& response) {
  if (response.status == 200)
    return WriteOutcome::kWritten;
  if (response.status == 409)
    return WriteOutcome::kConflict;
  return UnexpectedStatus(response);
}

Result<std::string> DecodeBlob(const HttpResponse& response) {
  if (response.status == 404)
    return Fail(ErrorCode::kNotFound, "the platform has no such blob");
  if (response.status != 200)
    return UnexpectedStatus(response);
  return response.body;
}

Result<std::vector<VmRecord>> DecodeVms(const HttpResponse& response) {
  if (response.status != 200)
    return UnexpectedStatus(response);
  try {
    return json::parse(response.body).get<std::vector<VmRecord>>();
  } catch (const json::exception& exception) {
    return Fail(ErrorCode::kInvalidInput, exception.what());
  }
}

// Sends a request. The response is decoded and passed to `did_complete` on a
// thread of the HTTP library.
template <typename T, typename Decode>
void SendAsync(HttpClient& client,
               const HttpRequest& request,
               Decode decode,
               HttpPlatformClient::DidComplete<T> did_complete) {
  client.Send(request, [decode, did_complete = std::move(did_complete)](
                           const ValueOrError<HttpResponse>& outcome) {
    if (const auto* error = std::get_if<Error>(&outcome))
      return did_complete(*error);
    const auto& response = std::get<HttpResponse>(outcome);
    did_complete(Capture([&] { return decode(response); }));
  });
}

}  // namespace

HttpPlatformClient::HttpPlatformClient(std::string address, Duration timeout)
    : client(std::make_unique<HttpClient>(std::move(address), timeout)) {}

HttpPlatformClient::~HttpPlatformClient() = default;

Result<PlatformRow> HttpPlatformClient::ReadRow(std::string_view key) {
  KINGCUPMILL_TRY(response, this->client->SendAndWait(RowRequest(key)));
  return DecodeRow(response);
}

Result<WriteOutcome> HttpPlatformClient::WriteRow(std::string_view key,
                                                  std::string_view value,
                                                  uint64_t expected) {
  KINGCUPMILL_TRY(response, this->client->SendAndWait(
                                RowWriteRequest(key, value, expected)));
  return DecodeWrite(response);
}

Result<std::string> HttpPlatformClient::ReadBlob(std::string_view digest) {
  KINGCUPMILL_TRY(response, this->client->SendAndWait(BlobRequest(digest)));
  return DecodeBlob(response);
}

Result<void> HttpPlatformClient::WriteBlob(std::string_view digest,
                                           std::string_view text) {
  HttpRequest request = MakeRequest("PUT", "/blobs/" + EncodePath(digest));
  request.body = std::string(text);
  KINGCUPMILL_TRY(response, this->client->SendAndWait(request));
  if (response.status != 200)
    return UnexpectedStatus(response);
  return {};
}

Result<std::vector<VmRecord>> HttpPlatformClient::ListVms() {
  KINGCUPMILL_TRY(response,
                  this->client->SendAndWait(MakeRequest("GET", "/vms")));
  return DecodeVms(response);
}

void HttpPlatformClient::ReadRowAsync(std::string_view key,
                                      DidComplete<PlatformRow> did_complete) {
  SendAsync<PlatformRow>(*this->client, RowRequest(key), DecodeRow,
                         std::move(did_complete));
}

void HttpPlatformClient::WriteRowAsync(std::string_view key,
                                       std::string_view value,
                                       uint64_t expected,
                                       DidComplete<WriteOutcome> did_complete) {
  SendAsync<WriteOutcome>(*this->client, RowWriteRequest(key, value, expected),
                          DecodeWrite, std::move(did_complete));
}

void HttpPlatformClient::ReadBlobAsync(std::string_view digest,
                                       DidComplete<std::string> did_complete) {
  SendAsync<std::string>(*this->client, BlobRequest(digest), DecodeBlob,
                         std::move(did_complete));
}

void HttpPlatformClient::ListVmsAsync(
    DidComplete<std::vector<VmRecord>> did_complete) {
  SendAsync<std::vector<VmRecord>>(*this->client, MakeRequest("GET", "/vms"),
                                   DecodeVms, std::move(did_complete));
}

}  // namespace kingcupmill
