#include "platform.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <sstream>
#include <string_view>
#include <thread>

namespace review {

using nlohmann::json;

namespace {

constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
// The store takes this long for an answer (`tx_ms`).
constexpr std::chrono::milliseconds kAnswerTime(4);

std::string EncodeBase64(std::string_view bytes) {
  std::string text;
  uint32_t bits = 0;
  int count = 0;
  for (const char byte : bytes) {
    bits = (bits << 8U) | static_cast<unsigned char>(byte);
    count += 8;
    while (count >= 6) {
      count -= 6;
      text += kAlphabet[(bits >> static_cast<unsigned>(count)) & 63U];
    }
  }
  if (count > 0)
    text += kAlphabet[(bits << static_cast<unsigned>(6 - count)) & 63U];
  while (text.size() % 4 != 0)
    text += '=';
  return text;
}

std::string DecodeBase64(std::string_view text) {
  std::string bytes;
  uint32_t bits = 0;
  int count = 0;
  for (const char digit : text) {
    const size_t value = kAlphabet.find(digit);
    if (value == std::string_view::npos)
      break;
    bits = (bits << 6U) | static_cast<uint32_t>(value);
    count += 6;
    if (count < 8)
      continue;
    count -= 8;
    bytes += static_cast<char>((bits >> static_cast<unsigned>(count)) & 255U);
  }
  return bytes;
}

std::string DecodePercent(const std::string& text) {
  std::string decoded;
  for (size_t index = 0; index < text.size(); ++index) {
    if (text[index] != '%' || index + 2 >= text.size()) {
      decoded += text[index];
      continue;
    }
    decoded += static_cast<char>(
        std::strtol(text.substr(index + 1, 2).c_str(), nullptr, 16));
    index += 2;
  }
  return decoded;
}

std::string ValueOf(const std::map<std::string, std::string>& query,
                    const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() ? std::string() : found->second;
}

uint64_t NumberOf(const std::map<std::string, std::string>& query,
                  const std::string& name) {
  return std::strtoull(ValueOf(query, name).c_str(), nullptr, 10);
}

}  // namespace

Platform::Platform()
    : listener(Socket::Listen("127.0.0.1", 0)),
      own_address("127.0.0.1:" + std::to_string(this->listener.port())) {
  std::thread([this] {
    for (;;) {
      auto connection = std::make_shared<Socket>(this->listener.Accept());
      if (!connection->is_valid())
        return;
      std::thread([this, connection] { this->Serve(*connection); }).detach();
    }
  }).detach();
}

void Platform::Put(const std::string& table,
                   const std::string& key,
                   const std::string& value) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->rows[{table, key}] = Row{value, ++this->version, false};
  this->changed.notify_all();
}

void Platform::Serve(const Socket& connection) {
  std::string buffer;
  for (;;) {
    const auto first = connection.ReadLine(buffer);
    if (!first)
      return;
    size_t length = 0;
    for (;;) {
      const auto header = connection.ReadLine(buffer);
      if (!header)
        return;
      if (header->empty())
        break;
      std::string name = header->substr(0, header->find(':'));
      std::transform(name.begin(), name.end(), name.begin(), ::tolower);
      if (name == "content-length")
        length = std::strtoull(header->c_str() + name.size() + 1, nullptr, 10);
    }
    while (buffer.size() < length) {
      if (!connection.Receive(buffer))
        return;
    }
    const std::string body = buffer.substr(0, length);
    buffer.erase(0, length);
    std::istringstream words(*first);
    std::string method;
    std::string target;
    words >> method >> target;
    const size_t mark = target.find('?');
    Query query;
    if (mark != std::string::npos) {
      std::istringstream parameters(target.substr(mark + 1));
      std::string parameter;
      while (std::getline(parameters, parameter, '&')) {
        const size_t equals = parameter.find('=');
        query[parameter.substr(0, equals)] =
            DecodePercent(parameter.substr(equals + 1));
      }
    }
    std::this_thread::sleep_for(kAnswerTime);
    const Answer answer = this->Handle(target.substr(0, mark), query, body);
    const std::string text = answer.body.dump();
    if (!connection.Send("HTTP/1.1 " + std::to_string(answer.status) +
                         " X\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(text.size()) + "\r\n\r\n" + text))
      return;
  }
}

Platform::Answer Platform::Handle(const std::string& path,
                                  const Query& query,
                                  const std::string& body) {
  if (path == "/kingcupmill/rows-get")
    return this->Get(query);
  if (path == "/kingcupmill/rows-feed")
    return this->Feed(query);
  if (path == "/kingcupmill/rows-tx")
    return this->Transact(body);
  return Answer{path == "/promotion" ? 409 : 404};
}

json Platform::RowsAfter(const std::string& table,
                         uint64_t after,
                         bool with_removed) const {
  json found = json::array();
  for (const auto& [name, row] : this->rows) {
    if (name.first != table || row.version <= after ||
        (row.is_removed && !with_removed))
      continue;
    json entry = {{"table", table},
                  {"part", ""},
                  {"key", name.second},
                  {"ver", row.version}};
    if (row.is_removed)
      entry["deleted"] = true;
    else
      entry["value"] = EncodeBase64(row.value);
    found.push_back(std::move(entry));
  }
  return found;
}

Platform::Answer Platform::MakeRows(json found) const {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return Answer{
      200,
      {{"rows", std::move(found)},
       {"ver", this->version},
       {"has_more", false},
       {"now_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count()}}};
}

Platform::Answer Platform::Get(const Query& query) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->MakeRows(this->RowsAfter(ValueOf(query, "table"), 0, false));
}

Platform::Answer Platform::Feed(const Query& query) {
  std::unique_lock<std::mutex> lock(this->mutex);
  const std::string table = ValueOf(query, "table");
  const uint64_t after = NumberOf(query, "after");
  this->changed.wait_for(
      lock, std::chrono::milliseconds(NumberOf(query, "wait_ms")),
      [&] { return !this->RowsAfter(table, after, true).empty(); });
  return this->MakeRows(this->RowsAfter(table, after, true));
}

Platform::Answer Platform::Transact(const std::string& body) {
  const json change = json::parse(body);
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto name_of = [](const json& row) {
    return std::pair(row.at("table").get<std::string>(),
                     row.at("key").get<std::string>());
  };
  for (const json& row : change.at("expected_rev")) {
    const auto known = this->rows.find(name_of(row));
    const uint64_t present =
        known == this->rows.end() || known->second.is_removed
            ? 0
            : known->second.version;
    if (present != row.at("ver").get<uint64_t>())
      return Answer{412, {{"rows", json::array()}, {"ver", this->version}}};
  }
  ++this->version;
  for (const json& row : change.at("puts"))
    this->rows[name_of(row)] = Row{
        DecodeBase64(row.at("value").get<std::string>()), this->version, false};
  for (const json& row : change.at("remove"))
    this->rows[name_of(row)] = Row{"", this->version, true};
  this->changed.notify_all();
  return Answer{200, {{"ver", this->version}}};
}

}  // namespace review
