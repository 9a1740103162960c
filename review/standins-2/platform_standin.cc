#include "platform_standin.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace review {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

// The limits of a page of rows, from the protocol page.
constexpr size_t kPageRows = 500;
constexpr size_t kPageBytes = 1'000'000;
// The time of one transaction of the store and of one call.
constexpr milliseconds kStoreTime{4};
constexpr milliseconds kStatementTime{3};
constexpr milliseconds kRestartDelay{500};
constexpr uint64_t kTerm = 3;
// The `run` line of the deploy file.
constexpr const char* kProgram = "target/kingcupmill-edge";

sockaddr_in AddressOf(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

std::string TakeWord(std::string& rest) {
  const size_t blank = rest.find(' ');
  std::string word = rest.substr(0, blank);
  rest = blank == std::string::npos ? "" : rest.substr(blank + 1);
  return word;
}

std::string EncodeBase64(const std::string& bytes) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t index = 0; index < bytes.size(); index += 3) {
    uint32_t bits = 0;
    for (size_t offset = 0; offset < 3; ++offset) {
      bits <<= 8U;
      if (index + offset < bytes.size())
        bits |= static_cast<unsigned char>(bytes[index + offset]);
    }
    for (size_t offset = 0; offset < 4; ++offset)
      text += index + offset <= bytes.size()
                  ? kDigits[(bits >> (18 - 6 * offset)) & 63U]
                  : '=';
  }
  return text;
}

std::string DecodeBase64(const std::string& text) {
  std::string bytes;
  uint32_t bits = 0;
  int count = 0;
  for (const char digit : text) {
    uint32_t value = 0;
    if (digit >= 'A' && digit <= 'Z')
      value = digit - 'A';
    else if (digit >= 'a' && digit <= 'z')
      value = digit - 'a' + 26;
    else if (digit >= '0' && digit <= '9')
      value = digit - '0' + 52;
    else if (digit == '+')
      value = 62;
    else if (digit == '/')
      value = 63;
    else
      break;
    bits = bits << 6U | value;
    count += 6;
    if (count < 8)
      continue;
    count -= 8;
    bytes += static_cast<char>(bits >> count & 255U);
  }
  return bytes;
}

std::string Unescape(const std::string& text) {
  std::string plain;
  for (size_t index = 0; index < text.size(); ++index) {
    if (text[index] == '%' && index + 2 < text.size()) {
      plain += static_cast<char>(
          std::strtol(text.substr(index + 1, 2).c_str(), nullptr, 16));
      index += 2;
    } else {
      plain += text[index];
    }
  }
  return plain;
}

int64_t SteadyMilliseconds() {
  return std::chrono::duration_cast<milliseconds>(
             Clock::now().time_since_epoch())
      .count();
}

}  // namespace

void Record::Write(const std::string& line) {
  char time[32];
  std::snprintf(time, sizeof time, "%8.3f ", this->Elapsed());
  const std::lock_guard lock(this->mutex);
  this->file << time << line << std::endl;
}

double Record::Elapsed() const {
  return std::chrono::duration<double>(Clock::now() - this->start).count();
}

Socket::~Socket() {
  close(this->descriptor);
}

void Socket::SetTimeout(milliseconds timeout) {
  timeval value{timeout.count() / 1000, timeout.count() % 1000 * 1000};
  setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
}

bool Socket::Fill() {
  char bytes[65536];
  const ssize_t count = recv(this->descriptor, bytes, sizeof bytes, 0);
  if (count <= 0)
    return false;
  this->buffer.append(bytes, static_cast<size_t>(count));
  return true;
}

std::optional<std::string> Socket::ReadLine() {
  size_t searched = 0;
  for (;;) {
    const size_t end = this->buffer.find("\r\n", searched);
    if (end != std::string::npos) {
      std::string line = this->buffer.substr(0, end);
      this->buffer.erase(0, end + 2);
      return line;
    }
    searched = this->buffer.empty() ? 0 : this->buffer.size() - 1;
    if (!this->Fill())
      return std::nullopt;
  }
}

std::optional<std::string> Socket::ReadBytes(size_t count) {
  while (this->buffer.size() < count) {
    if (!this->Fill())
      return std::nullopt;
  }
  std::string bytes = this->buffer.substr(0, count);
  this->buffer.erase(0, count);
  return bytes;
}

bool Socket::Write(const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(this->descriptor, bytes.data() + sent,
                               bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

int Listen(const std::string& ip, uint16_t& port) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = AddressOf(ip, port);
  socklen_t size = sizeof address;
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(listener, 256) != 0 ||
      getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) !=
          0) {
    close(listener);
    return -1;
  }
  port = ntohs(address.sin_port);
  return listener;
}

int Connect(const std::string& ip, uint16_t port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(ip, port);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    close(descriptor);
    return -1;
  }
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return descriptor;
}

void Serve(int listener, std::function<void(Socket&)> serve) {
  std::thread([listener, serve = std::move(serve)] {
    for (;;) {
      const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor < 0)
        return;
      const int on = 1;
      setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([descriptor, serve] {
        Socket socket(descriptor);
        serve(socket);
      }).detach();
    }
  }).detach();
}

uint16_t FindFreePorts(int count) {
  for (int start = 23000; start < 60000; start += 100) {
    bool is_free = true;
    for (int offset = 0; offset < count && is_free; ++offset) {
      auto port = static_cast<uint16_t>(start + offset);
      const int listener = Listen("0.0.0.0", port);
      is_free = listener >= 0;
      if (is_free)
        close(listener);
    }
    if (is_free)
      return static_cast<uint16_t>(start);
  }
  throw std::runtime_error("no free ports");
}

void Store::Write(const std::string& table,
                  const std::string& key,
                  std::optional<std::string> value) {
  auto& rows = this->tables[table];
  if (value)
    rows[key] = Row{std::move(*value), this->version};
  else
    rows.erase(key);
  this->changes.push_back(Change{table, key, this->version});
}

void Store::Put(const std::string& table,
                const std::string& key,
                const std::string& value) {
  const std::lock_guard lock(this->mutex);
  ++this->version;
  this->Write(table, key, value);
  this->changed.notify_all();
}

std::string Store::Get(const Query& query) {
  const std::lock_guard lock(this->mutex);
  const std::string table = query.at("table");
  const auto from = query.find("from");
  const auto& known = this->tables[table];
  json rows = json::array();
  size_t bytes = 0;
  bool has_more = false;
  auto row =
      from == query.end() ? known.begin() : known.lower_bound(from->second);
  for (; row != known.end(); ++row) {
    const std::string value = EncodeBase64(row->second.value);
    bytes += value.size() + row->first.size();
    if (rows.size() >= kPageRows || bytes > kPageBytes) {
      has_more = true;
      break;
    }
    rows.push_back({{"table", table},
                    {"part", ""},
                    {"key", row->first},
                    {"ver", row->second.version},
                    {"value", value}});
  }
  return json{{"rows", std::move(rows)},
              {"has_more", has_more},
              {"ver", this->version},
              {"now_ms", SteadyMilliseconds()}}
      .dump();
}

std::string Store::Feed(const Query& query) {
  const std::string table = query.at("table");
  const uint64_t after = std::stoull(query.at("after"));
  const auto end = Clock::now() + milliseconds(std::stoll(query.at("wait_ms")));
  std::unique_lock lock(this->mutex);
  std::map<std::string, uint64_t> newest;
  const auto find_changes = [&] {
    newest.clear();
    for (const Change& change : this->changes) {
      if (change.table == table && change.version > after)
        newest[change.key] = change.version;
    }
    return !newest.empty();
  };
  this->changed.wait_until(lock, end, find_changes);
  std::vector<std::pair<uint64_t, std::string>> in_order;
  in_order.reserve(newest.size());
  for (const auto& [key, changed_in] : newest)
    in_order.emplace_back(changed_in, key);
  std::sort(in_order.begin(), in_order.end());
  json rows = json::array();
  for (const auto& [changed_in, key] : in_order) {
    json row{{"table", table}, {"part", ""}, {"key", key}, {"ver", changed_in}};
    const auto known = this->tables[table].find(key);
    if (known == this->tables[table].end())
      row["deleted"] = true;
    else
      row["value"] = EncodeBase64(known->second.value);
    rows.push_back(std::move(row));
  }
  return json{{"rows", std::move(rows)},
              {"ver", this->version},
              {"now_ms", SteadyMilliseconds()}}
      .dump();
}

std::string Store::Apply(const std::string& body, int& status) {
  const json call = json::parse(body);
  const std::lock_guard lock(this->mutex);
  json rows = json::array();
  bool is_met = true;
  for (const json& expected : call.at("expected_rev")) {
    const auto& table = this->tables[expected.at("table")];
    const auto row = table.find(expected.at("key"));
    const uint64_t found = row == table.end() ? 0 : row->second.version;
    is_met = is_met && found == expected.at("ver").get<uint64_t>();
    if (row != table.end())
      rows.push_back({{"table", expected.at("table")},
                      {"part", ""},
                      {"key", row->first},
                      {"ver", row->second.version},
                      {"value", EncodeBase64(row->second.value)}});
  }
  status = is_met ? 200 : 412;
  json answer{{"ver", this->version}, {"now_ms", SteadyMilliseconds()}};
  if (!is_met) {
    answer["rows"] = std::move(rows);
    return answer.dump();
  }
  ++this->version;
  for (const json& put : call.at("puts"))
    this->Write(put.at("table"), put.at("key"),
                DecodeBase64(put.at("value").get<std::string>()));
  for (const json& removed : call.at("remove"))
    this->Write(removed.at("table"), removed.at("key"), std::nullopt);
  this->changed.notify_all();
  answer["ver"] = this->version;
  return answer.dump();
}

void Store::ServeClient(Socket& socket) {
  for (;;) {
    const auto request = socket.ReadLine();
    if (!request)
      return;
    size_t length = 0;
    for (auto header = socket.ReadLine();; header = socket.ReadLine()) {
      if (!header)
        return;
      if (header->empty())
        break;
      std::string name = header->substr(0, header->find(':'));
      std::transform(name.begin(), name.end(), name.begin(), ::tolower);
      if (name == "content-length")
        length = std::stoul(header->substr(header->find(':') + 1));
    }
    const auto body = socket.ReadBytes(length);
    if (!body)
      return;
    std::istringstream words(*request);
    std::string method;
    std::string target;
    words >> method >> target;
    const size_t mark = target.find('?');
    const std::string path = target.substr(0, mark);
    Query query;
    if (mark != std::string::npos) {
      std::istringstream fields(target.substr(mark + 1));
      for (std::string field; std::getline(fields, field, '&');)
        query[field.substr(0, field.find('='))] =
            Unescape(field.substr(field.find('=') + 1));
    }
    std::this_thread::sleep_for(kStoreTime);
    int status = 200;
    std::string answer = "{}";
    if (path.ends_with("rows-get"))
      answer = this->Get(query);
    else if (path.ends_with("rows-feed"))
      answer = this->Feed(query);
    else if (path.ends_with("rows-tx"))
      answer = this->Apply(*body, status);
    else if (path != "/promotion")
      status = 404;
    if (!socket.Write("HTTP/1.1 " + std::to_string(status) +
                      " Status\r\nContent-Type: application/json\r\n"
                      "Content-Length: " +
                      std::to_string(answer.size()) + "\r\n\r\n" + answer))
      return;
  }
}

Database::Database(Record& record,
                   Log& log,
                   std::string service,
                   std::string id,
                   bool is_primary,
                   bool log_statements,
                   Rows rows)
    : record(record),
      log(log),
      service(std::move(service)),
      id(std::move(id)),
      is_primary(is_primary),
      log_statements(log_statements),
      rows(std::move(rows)) {}

void Database::ServeClient(Socket& socket) {
  auto line = socket.ReadLine();
  if (!line)
    return;
  std::string rest = *line;
  const bool is_startup = TakeWord(rest) == "STARTUP";
  const bool is_service = TakeWord(rest) == this->service;
  TakeWord(rest);
  if (!is_startup || !is_service || (!rest.empty() && rest != this->id)) {
    socket.Write("ERROR MISROUTED " + this->id + "\r\n");
    return;
  }
  const auto position = [this] {
    return std::to_string(kTerm) + "." + std::to_string(this->log.position);
  };
  std::this_thread::sleep_for(milliseconds(12));
  if (!socket.Write("READY I " + position() + "\r\n"))
    return;
  Session session;
  while ((line = socket.ReadLine())) {
    rest = *line;
    if (TakeWord(rest) != "QUERY")
      return;
    const std::string request = TakeWord(rest);
    const std::string answer = this->Answer(session, request, rest);
    if (!socket.Write(answer + "READY " + session.state + " " + position() +
                      "\r\n"))
      return;
  }
}

std::string Database::Answer(Session& session,
                             const std::string& request,
                             std::string text) {
  std::string done = "COMPLETE -\r\n";
  const std::string whole = text;
  std::string verb = TakeWord(text);
  if (verb == "AFTER") {
    TakeWord(text);
    verb = TakeWord(text);
  }
  if (verb == "STATUS" || verb == "STEPDOWN" || verb == "PAUSE")
    return std::string("DATAROW ") +
           (this->is_primary ? "primary " : "replica ") +
           std::to_string(kTerm) + " " + std::to_string(kTerm) + "." +
           std::to_string(this->log.position) + " 0 0 1 1\r\n" + done;
  if (verb == "PREPARE") {
    const size_t name = std::hash<std::string>()(TakeWord(text));
    session.prepared[name] = TakeWord(text);
    return done;
  }
  if (verb == "BEGIN") {
    if (text != "READ" && !this->is_primary)
      return "ERROR READONLY " + this->id + "\r\n";
    session.state = 'T';
    return done;
  }
  if (verb == "ROLLBACK" || verb == "RESET" || verb == "SET" ||
      verb == "CLOSE" || verb == "RESUME") {
    if (verb == "ROLLBACK") {
      session.state = 'I';
      session.did_write = false;
    }
    return done;
  }
  std::this_thread::sleep_for(kStatementTime);
  if (verb == "EXECUTE") {
    const auto prepared =
        session.prepared.find(std::hash<std::string>()(TakeWord(text)));
    if (prepared == session.prepared.end())
      return "ERROR NOSTMT " + this->id + "\r\n";
    verb = prepared->second;
  }
  const std::string receipt = "r." + this->id + "." + request;
  if (verb == "WRITE") {
    if (!this->is_primary)
      return "ERROR READONLY " + this->id + "\r\n";
    if (session.state == 'T')
      session.did_write = true;
    else
      ++this->log.position;
  } else if (verb == "COMMIT") {
    if (session.did_write)
      ++this->log.position;
    session.did_write = false;
    session.state = 'I';
  } else if (verb != "READ") {
    return "ERROR MALFORMED " + this->id + "\r\n";
  }
  if (this->log_statements)
    this->record.Write("run server=" + this->id + " request=" + request +
                       " text=\"" + whole + "\"");
  std::string answer;
  if (verb == "READ") {
    for (const std::string& row : this->rows(text))
      answer += "DATAROW " + row + "\r\n";
  }
  return answer + "COMPLETE " + receipt + "\r\n";
}

Proxy::Proxy(Record& record, std::string name, std::string settings_path)
    : record(record),
      name(std::move(name)),
      settings_path(std::move(settings_path)) {}

void Proxy::Start() {
  this->has_stopped = false;
  std::thread([this] { this->KeepRunning(); }).detach();
}

void Proxy::KeepRunning() {
  for (;;) {
    pid_t child = -1;
    {
      const std::lock_guard lock(this->mutex);
      if (this->is_stopping)
        break;
      this->was_signalled = false;
      child = fork();
      if (child == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const std::string log = this->settings_path + ".log";
        const int output =
            open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, 1);
        dup2(output, 2);
        const std::string boot = "KINGCUPMILL_BOOT=" + this->settings_path;
        const std::string path = std::string("PATH=") + std::getenv("PATH");
        char* arguments[] = {const_cast<char*>(kProgram), nullptr};
        char* environment[] = {const_cast<char*>(boot.c_str()),
                               const_cast<char*>(path.c_str()), nullptr};
        execve(kProgram, arguments, environment);
        _exit(127);
      }
      this->pid = child;
    }
    this->record.Write("start proxy=" + this->name);
    int status = 0;
    waitpid(child, &status, 0);
    {
      const std::lock_guard lock(this->mutex);
      this->pid = -1;
      if (this->is_stopping)
        break;
      if (!this->was_signalled)
        ++this->own_end_count;
      std::string line = "end proxy=" + this->name;
      line += WIFSIGNALED(status)
                  ? " signal=" + std::to_string(WTERMSIG(status))
                  : " code=" + std::to_string(WEXITSTATUS(status));
      line += this->was_signalled ? " sent_by_test=yes" : " sent_by_test=no";
      this->record.Write(line);
    }
    std::this_thread::sleep_for(kRestartDelay);
  }
  this->has_stopped = true;
}

void Proxy::Signal(int signal) {
  const std::lock_guard lock(this->mutex);
  if (this->pid <= 0)
    return;
  this->was_signalled = true;
  this->record.Write("signal proxy=" + this->name +
                     " signal=" + std::to_string(signal));
  kill(this->pid, signal);
}

void Proxy::EnforceMemory(size_t limit_bytes) {
  const std::lock_guard lock(this->mutex);
  if (this->pid <= 0)
    return;
  const std::string folder = "/proc/" + std::to_string(this->pid);
  // Before its program runs, the process is a copy of this one.
  std::string program;
  std::getline(std::ifstream(folder + "/cmdline"), program, '\0');
  if (program != kProgram)
    return;
  std::ifstream file(folder + "/statm");
  size_t total_pages = 0;
  size_t resident_pages = 0;
  file >> total_pages >> resident_pages;
  const size_t bytes =
      resident_pages * static_cast<size_t>(sysconf(_SC_PAGESIZE));
  this->peak = std::max<size_t>(this->peak, bytes);
  if (bytes <= limit_bytes)
    return;
  this->record.Write("memory proxy=" + this->name +
                     " bytes=" + std::to_string(bytes) +
                     " limit=" + std::to_string(limit_bytes));
  kill(this->pid, SIGKILL);
}

void Proxy::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    this->is_stopping = true;
    if (this->pid > 0)
      kill(this->pid, SIGKILL);
  }
  while (!this->has_stopped)
    std::this_thread::sleep_for(milliseconds(10));
}

Deployment::Deployment(Record& record, std::string folder, Database::Rows rows)
    : record(record),
      store(record),
      folder(std::move(folder)),
      rows(std::move(rows)) {}

void Deployment::Start() {
  const uint16_t base = FindFreePorts(20);
  uint16_t store_port = base;
  Serve(Listen("127.0.0.1", store_port),
        [this](Socket& socket) { this->store.ServeClient(socket); });
  const auto route = [this](const char* host, const char* kind, json more) {
    json entry{
        {"name", host},       {"host", host},       {"service", this->service},
        {"route_type", kind}, {"timeout_ms", 1200}, {"target_latency_ms", 300},
        {"priority", 1}};
    entry.update(more);
    return entry;
  };
  this->store.Put(
      "op", "config",
      json{{"version", 7},
           {"routes",
            {route("orders", "primary", json::object()),
             route("stock", "bounded_stale", {{"max_staleness_ms", 1500}})}},
           {"services",
            {{{"name", this->service},
              {"max_conns", 16},
              {"sync_replicas", 0}}}},
           {"limits", {{"tx_idle_ms", 3000}}}}
          .dump());
  for (int index = 0; index < 3; ++index) {
    const std::string id = "i-7f3a91c" + std::to_string(index);
    auto* database = new Database(this->record, this->log, this->service, id,
                                  index == 0, this->log_statements, this->rows);
    this->databases.push_back(database);
    auto port = static_cast<uint16_t>(base + 1 + index);
    Serve(Listen("127.0.0.1", port),
          [database](Socket& socket) { database->ServeClient(socket); });
    this->store.Put("servers", id,
                    json{{"service", this->service},
                         {"address", "127.0.0.1:" + std::to_string(port)},
                         {"zone", "zone-" + std::to_string(index)},
                         {"version", "1.4.0"},
                         {"capacity", 2},
                         {"state", "ready"},
                         {"warmup_left_ms", 0},
                         {"sequence", 12},
                         {"born", 1790000000000 + index},
                         {"db_role", index == 0 ? "primary" : "replica"}}
                        .dump());
  }
  for (int index = 0; index < 3; ++index) {
    const std::string name = "edge-" + std::to_string(index);
    const std::string ip = "127.0.1." + std::to_string(index + 1);
    const std::string path = this->folder + "/" + name + ".toml";
    const std::string store_address = "127.0.0.1:" + std::to_string(store_port);
    std::ofstream(path)
        << "vm = \"" << name << "\"\nplace = \"zone-" << index << "\"\nip = \""
        << ip << "\"\ncaller_address = \"" << ip << ":" << base + 10
        << "\"\nreadiness_address = \"" << ip << ":" << base + 11
        << "\"\nstore_address = \"" << store_address
        << "\"\npromotion_address = \"" << store_address
        << "\"\npeer_port = " << base + 12 << "\nmetrics_port = " << base + 13
        << "\nseed_addresses = \"127.0.1.1:" << base + 12
        << "\"\ngrace_seconds = 6\ntarget_drain_ms = 7000\nmemory_mb = 260\n"
           "max_descriptors = 4300\n";
    this->caller_addresses.emplace_back(ip, static_cast<uint16_t>(base + 10));
    this->proxies.push_back(new Proxy(this->record, name, path));
    this->proxies.back()->Start();
  }
}

void Deployment::Stop() {
  for (Proxy* proxy : this->proxies)
    proxy->Stop();
}

RequestOutcome SendRequest(const std::pair<std::string, uint16_t>& address,
                           const std::string& database,
                           const std::string& id,
                           const std::string& text,
                           milliseconds timeout) {
  RequestOutcome outcome;
  const int descriptor = Connect(address.first, address.second);
  if (descriptor < 0)
    return outcome;
  Socket socket(descriptor);
  socket.SetTimeout(timeout);
  socket.Write("STARTUP " + database + " caller\r\n");
  const auto greeting = socket.ReadLine();
  if (!greeting || !greeting->starts_with("READY")) {
    outcome.result = greeting.value_or("");
    return outcome;
  }
  outcome.is_connected = true;
  socket.Write("QUERY " + id + " " + text + "\r\n");
  while (const auto line = socket.ReadLine()) {
    if (line->starts_with("READY")) {
      outcome.is_answered = true;
      socket.Write("TERM\r\n");
      break;
    }
    if (line->starts_with("DATAROW ")) {
      ++outcome.rows;
      outcome.bytes += line->size() - 8;
    } else {
      outcome.result = *line;
    }
  }
  return outcome;
}

}  // namespace review
