// Small stand-ins for the platform's store, the promotion order, database
// servers and callers, on loopback sockets, with one thread a connection. They
// follow the users' pages (PROTOCOL.md, DEPLOY.md); where a page is silent they
// behave like a sound server.
#ifndef REVIEW_STANDINS_WORLD_H_
#define REVIEW_STANDINS_WORLD_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline Clock::time_point g_start = Clock::now();

inline int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - g_start)
      .count();
}

inline void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}

// Writes record.txt, one event a line.
class Record {
 public:
  explicit Record(const std::string& path) : file(fopen(path.c_str(), "w")) {}
  void Line(const char* format, ...) {
    char text[2000];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->file)
      return;
    fprintf(this->file, "%8.3f %s\n", static_cast<double>(NowMs()) / 1000.0,
            text);
    fflush(this->file);
  }

 private:
  std::mutex mutex;
  FILE* file;
};

inline sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline int ListenOn(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  const sockaddr_in address = AddressOf(ip, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
          0 ||
      listen(fd, 256) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline int ConnectTo(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(ip, port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    close(fd);
    return -1;
  }
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

inline bool SendAll(int fd, const std::string& text) {
  size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t count =
        send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

// Reads lines that end with CR LF, and counted bodies.
class Reader {
 public:
  explicit Reader(int fd) : fd(fd) {}
  // Returns false at the end of the connection or, with a limit, when the time
  // is over.
  bool Line(std::string& line, int64_t limit_ms = -1) {
    const int64_t end = limit_ms < 0 ? -1 : NowMs() + limit_ms;
    for (;;) {
      const size_t at = this->buffer.find("\r\n");
      if (at != std::string::npos) {
        line = this->buffer.substr(0, at);
        this->buffer.erase(0, at + 2);
        return true;
      }
      if (!this->More(end))
        return false;
    }
  }
  bool Bytes(std::string& body, size_t count) {
    while (this->buffer.size() < count)
      if (!this->More(-1))
        return false;
    body = this->buffer.substr(0, count);
    this->buffer.erase(0, count);
    return true;
  }

 private:
  bool More(int64_t end) {
    if (end >= 0) {
      const int64_t left = end - NowMs();
      pollfd entry{this->fd, POLLIN, 0};
      if (left <= 0 || poll(&entry, 1, static_cast<int>(left)) <= 0)
        return false;
    }
    char bytes[8192];
    const ssize_t count = recv(this->fd, bytes, sizeof bytes, 0);
    if (count <= 0)
      return false;
    this->buffer.append(bytes, static_cast<size_t>(count));
    return true;
  }
  int fd;
  std::string buffer;
};

inline std::string TakeWord(std::string& rest) {
  const size_t blank = rest.find(' ');
  const std::string word = rest.substr(0, blank);
  rest = blank == std::string::npos ? "" : rest.substr(blank + 1);
  return word;
}

inline std::string EncodeBase64(const std::string& bytes) {
  static const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  uint32_t bits = 0;
  int count = 0;
  for (const unsigned char byte : bytes) {
    bits = (bits << 8) | byte;
    count += 8;
    while (count >= 6) {
      count -= 6;
      text += kDigits[(bits >> count) & 63];
    }
  }
  if (count > 0)
    text += kDigits[(bits << (6 - count)) & 63];
  while (text.size() % 4 != 0)
    text += '=';
  return text;
}

// A listening socket with one thread a connection.
class Listener {
 public:
  using Serve = std::function<void(int)>;
  Listener(std::string ip, int port, Serve serve)
      : ip(std::move(ip)), port(port), serve(std::move(serve)) {}
  bool Start() {
    this->fd = ListenOn(this->ip, this->port);
    if (this->fd < 0)
      return false;
    std::thread([this, listening = this->fd.load()] {
      for (;;) {
        const int accepted = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
          return;
        const int one = 1;
        setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        {
          std::lock_guard<std::mutex> lock(this->mutex);
          this->open.insert(accepted);
        }
        std::thread([this, accepted] {
          this->serve(accepted);
          std::lock_guard<std::mutex> lock(this->mutex);
          this->open.erase(accepted);
          close(accepted);
        }).detach();
      }
    }).detach();
    return true;
  }
  // Ends the listening socket and every connection, as the end of a process
  // does.
  void Stop() {
    const int listening = this->fd.exchange(-1);
    if (listening >= 0) {
      shutdown(listening, SHUT_RDWR);
      close(listening);
    }
    std::lock_guard<std::mutex> lock(this->mutex);
    for (const int connection : this->open)
      shutdown(connection, SHUT_RDWR);
  }

 private:
  std::string ip;
  int port;
  Serve serve;
  std::atomic<int> fd{-1};
  std::mutex mutex;
  std::set<int> open;
};

// The platform's store (tables) and the promotion order, over HTTP.
class Store {
 public:
  struct Row {
    std::string value;
    uint64_t version = 0;
    bool is_deleted = false;
  };
  // Returns the HTTP status.
  using Promote = std::function<int(const std::string& service,
                                    const std::string& id,
                                    const std::string& holder,
                                    uint64_t epoch)>;

  explicit Store(Promote promote) : promote(std::move(promote)) {}

  void Put(const std::string& table,
           const std::string& key,
           const std::string& value) {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->tables[table][key] = Row{value, ++this->version, false};
    this->changed.notify_all();
  }
  void Remove(const std::string& table, const std::string& key) {
    std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->tables[table].find(key);
    if (found == this->tables[table].end() || found->second.is_deleted)
      return;
    found->second = Row{"", ++this->version, true};
    this->changed.notify_all();
  }
  // A refused call is answered with 503, and nothing was done.
  std::atomic<bool> is_down{false};

  void Serve(int fd) {
    Reader reader(fd);
    std::string line;
    while (reader.Line(line)) {
      std::string method = TakeWord(line);
      std::string target = TakeWord(line);
      std::map<std::string, std::string> headers;
      std::string header;
      while (reader.Line(header) && !header.empty()) {
        const size_t colon = header.find(':');
        std::string name = header.substr(0, colon);
        for (char& character : name)
          character = static_cast<char>(tolower(character));
        size_t at = colon + 1;
        while (at < header.size() && header[at] == ' ')
          ++at;
        headers[name] = header.substr(at);
      }
      std::string body;
      if (headers.count("content-length") &&
          !reader.Bytes(body, std::stoul(headers["content-length"])))
        return;
      int status = 200;
      json answer = json::object();
      this->Handle(method, target, headers, body, status, answer);
      const std::string text = answer.dump();
      std::ostringstream response;
      response << "HTTP/1.1 " << status
               << " Status\r\nContent-Type: application/json\r\n"
               << "Content-Length: " << text.size() << "\r\n\r\n"
               << text;
      if (!SendAll(fd, response.str()))
        return;
    }
  }

 private:
  static std::string Decode(const std::string& text) {
    std::string decoded;
    for (size_t at = 0; at < text.size(); ++at) {
      if (text[at] == '%' && at + 2 < text.size()) {
        decoded +=
            static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
        at += 2;
      } else {
        decoded += text[at];
      }
    }
    return decoded;
  }
  static std::string Parameter(const std::string& target,
                               const std::string& name) {
    const size_t query = target.find('?');
    if (query == std::string::npos)
      return "";
    std::stringstream parts(target.substr(query + 1));
    std::string part;
    while (std::getline(parts, part, '&'))
      if (part.rfind(name + "=", 0) == 0)
        return Decode(part.substr(name.size() + 1));
    return "";
  }
  json RowJson(const std::string& table,
               const std::string& key,
               const Row& row) const {
    json entry{
        {"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
    if (row.is_deleted)
      entry["deleted"] = true;
    else
      entry["value"] = EncodeBase64(row.value);
    return entry;
  }
  static std::string DecodeBase64(const std::string& text) {
    std::string bytes;
    uint32_t bits = 0;
    int count = 0;
    for (const char digit : text) {
      int value;
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
        continue;
      bits = (bits << 6) | static_cast<uint32_t>(value);
      count += 6;
      if (count >= 8) {
        count -= 8;
        bytes += static_cast<char>((bits >> count) & 255);
      }
    }
    return bytes;
  }

  void Handle(const std::string& method,
              const std::string& target,
              std::map<std::string, std::string>& headers,
              const std::string& body,
              int& status,
              json& answer) {
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/promotion") {
      const json order = json::parse(body);
      status = this->promote(order.at("service"), order.at("id"),
                             headers["duty-holder"],
                             std::stoull(headers["fence-token"]));
      return;
    }
    SleepMs(4);
    if (this->is_down) {
      status = 503;
      return;
    }
    std::unique_lock<std::mutex> lock(this->mutex);
    answer["now_ms"] = NowMs();
    if (method == "POST" && path == "/kingcupmill/rows-tx") {
      const json change = json::parse(body);
      json current = json::array();
      bool holds = true;
      for (const json& expected : change.at("expected_rev")) {
        const std::string table = expected.at("table");
        const std::string key = expected.at("key");
        const auto found = this->tables[table].find(key);
        const bool exists =
            found != this->tables[table].end() && !found->second.is_deleted;
        const uint64_t version = exists ? found->second.version : 0;
        holds = holds && version == expected.at("ver").get<uint64_t>();
        if (exists)
          current.push_back(this->RowJson(table, key, found->second));
      }
      if (!holds) {
        status = 412;
        answer["rows"] = current;
        answer["ver"] = this->version;
        return;
      }
      ++this->version;
      for (const json& put : change.at("puts"))
        this->tables[put.at("table").get<std::string>()]
                    [put.at("key").get<std::string>()] =
            Row{DecodeBase64(put.at("value")), this->version, false};
      for (const json& removal : change.at("remove"))
        this->tables[removal.at("table").get<std::string>()]
                    [removal.at("key").get<std::string>()] =
            Row{"", this->version, true};
      this->changed.notify_all();
      answer["ver"] = this->version;
      return;
    }
    const std::string table = Parameter(target, "table");
    json rows = json::array();
    if (path == "/kingcupmill/rows-get") {
      const std::string from = Parameter(target, "from");
      for (const auto& [key, row] : this->tables[table])
        if (!row.is_deleted && key >= from)
          rows.push_back(this->RowJson(table, key, row));
      answer["has_more"] = false;
    } else if (path == "/kingcupmill/rows-feed") {
      const uint64_t after = std::stoull(Parameter(target, "after"));
      const auto end =
          Clock::now() + milliseconds(std::stoll(Parameter(target, "wait_ms")));
      const auto has_changes = [&] {
        for (const auto& [key, row] : this->tables[table])
          if (row.version > after)
            return true;
        return this->is_down.load();
      };
      this->changed.wait_until(lock, end, has_changes);
      if (this->is_down) {
        status = 503;
        return;
      }
      std::map<uint64_t, json> ordered;
      for (const auto& [key, row] : this->tables[table])
        if (row.version > after)
          ordered[row.version * 1000 + ordered.size()] =
              this->RowJson(table, key, row);
      for (auto& [order, row] : ordered)
        rows.push_back(std::move(row));
      answer["now_ms"] = NowMs();
    } else {
      status = 404;
      return;
    }
    answer["rows"] = rows;
    answer["ver"] = this->version;
  }

  Promote promote;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, std::map<std::string, Row>> tables;
  uint64_t version = 0;
};

struct Commit {
  uint64_t term = 0;
  uint64_t number = 0;
  std::string request;
  int64_t at_ms = 0;
};

// One database server. All servers of a group share the group's mutex.
struct Server {
  std::string id;
  std::string zone;
  std::string ip;
  int port = 0;
  bool is_running = true;
  bool is_draining = false;
  bool leads = false;
  uint64_t term = 1;
  std::vector<Commit> log;
  // How long a commit is on its way to this server.
  int64_t lag_ms = 20;
  int64_t born = 0;
  std::unique_ptr<Listener> listener;
};

// A service: a primary and its replicas.
class Group {
 public:
  Group(Record& record, Store& store, std::string service, int sync)
      : record(record), store(store), service(std::move(service)), sync(sync) {}

  static constexpr int64_t kPromoteMs = 300;
  static constexpr int64_t kWorkMs = 3;
  static constexpr int64_t kHeartbeatMs = 1200;

  bool AddServer(const std::string& id,
                 const std::string& zone,
                 const std::string& ip,
                 int port,
                 int64_t lag_ms) {
    auto server = std::make_unique<Server>();
    server->id = id;
    server->zone = zone;
    server->ip = ip;
    server->port = port;
    server->lag_ms = lag_ms;
    server->born = static_cast<int64_t>(time(nullptr)) * 1000;
    server->leads = this->servers.empty();
    Server* raw = server.get();
    server->listener = std::make_unique<Listener>(
        ip, port, [this, raw](int fd) { this->Serve(*raw, fd); });
    this->servers.push_back(std::move(server));
    return raw->listener->Start();
  }

  void Start() {
    std::thread([this] { this->Replicate(); }).detach();
    std::thread([this] { this->CheckIn(); }).detach();
  }

  Server& Find(const std::string& id) {
    for (const auto& server : this->servers)
      if (server->id == id)
        return *server;
    abort();
  }

  void Crash(const std::string& id) {
    Server& server = this->Find(id);
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      server.is_running = false;
      this->changed.notify_all();
    }
    server.listener->Stop();
    this->record.Line("server %s crashes", id.c_str());
  }

  void Drain(const std::string& id) {
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      this->Find(id).is_draining = true;
    }
    this->record.Line("server %s reports draining", id.c_str());
    this->PublishAll();
  }

  // Called when a promotion takes effect, with the log of the new primary.
  std::function<void(const Server&)> did_promote;

  int Promote(const std::string& id,
              const std::string& holder,
              uint64_t epoch) {
    this->record.Line("promotion order id=%s holder=%s epoch=%llu", id.c_str(),
                      holder.c_str(), static_cast<unsigned long long>(epoch));
    std::lock_guard<std::mutex> lock(this->mutex);
    this->epochs.push_back(epoch);
    Server* chosen = nullptr;
    uint64_t newest = 0;
    for (const auto& server : this->servers) {
      newest = std::max(newest, server->term);
      if (server->id == id && server->is_running)
        chosen = server.get();
    }
    if (!chosen)
      return 409;
    if (chosen->leads && chosen->term == newest)
      return 200;
    if (this->promoting == id)
      return 200;
    this->promoting = id;
    std::thread([this, chosen, newest] {
      SleepMs(kPromoteMs);
      std::lock_guard<std::mutex> inner(this->mutex);
      this->promoting.clear();
      if (!chosen->is_running)
        return;
      chosen->term = newest + 1;
      chosen->leads = true;
      this->record.Line(
          "server %s leads term %llu with %zu commits", chosen->id.c_str(),
          static_cast<unsigned long long>(chosen->term), chosen->log.size());
      if (this->did_promote)
        this->did_promote(*chosen);
      this->changed.notify_all();
    }).detach();
    return 200;
  }

  // The epoch numbers of all promotion orders, in the order of their arrival.
  std::vector<uint64_t> Epochs() {
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->epochs;
  }

  std::mutex mutex;
  std::vector<std::unique_ptr<Server>> servers;

 private:
  static std::string PositionOf(const Server& server) {
    const uint64_t term = server.log.empty() ? 1 : server.log.back().term;
    return std::to_string(term) + "." + std::to_string(server.log.size());
  }

  Server* Leader() {
    Server* leader = nullptr;
    for (const auto& server : this->servers)
      if (server->is_running && server->leads &&
          (!leader || server->term > leader->term))
        leader = server.get();
    return leader;
  }

  void Replicate() {
    for (;;) {
      SleepMs(1);
      std::lock_guard<std::mutex> lock(this->mutex);
      Server* leader = this->Leader();
      if (!leader)
        continue;
      bool is_changed = false;
      for (const auto& replica : this->servers) {
        if (replica.get() == leader || !replica->is_running)
          continue;
        if (replica->leads && replica->term < leader->term)
          replica->leads = false;
        replica->term = leader->term;
        std::vector<Commit>& log = replica->log;
        size_t common = std::min(log.size(), leader->log.size());
        while (common > 0 &&
               log[common - 1].request != leader->log[common - 1].request)
          --common;
        log.resize(common);
        while (log.size() < leader->log.size() &&
               leader->log[log.size()].at_ms + replica->lag_ms <= NowMs()) {
          log.push_back(leader->log[log.size()]);
          is_changed = true;
        }
      }
      if (is_changed)
        this->changed.notify_all();
    }
  }

  void PublishAll() {
    std::lock_guard<std::mutex> publishing(this->publish_mutex);
    for (const auto& server : this->servers) {
      json entry;
      {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (!server->is_running)
          continue;
        entry = {{"service", this->service},
                 {"address", server->ip + ":" + std::to_string(server->port)},
                 {"zone", server->zone},
                 {"version", "v1"},
                 {"capacity", 2},
                 {"state", server->is_draining ? "draining" : "ready"},
                 {"warmup_left_ms", 0},
                 {"db_role", server->leads ? "primary" : "replica"},
                 {"born", server->born},
                 {"sequence", ++this->sequence}};
      }
      this->store.Put("servers", server->id, entry.dump());
      this->heard_ms[server->id] = NowMs();
    }
  }

  void CheckIn() {
    for (;;) {
      this->PublishAll();
      const int64_t next = NowMs() + kHeartbeatMs;
      while (NowMs() < next) {
        SleepMs(20);
        std::lock_guard<std::mutex> publishing(this->publish_mutex);
        for (const auto& [id, heard] : this->heard_ms)
          if (NowMs() - heard >= 3 * kHeartbeatMs)
            this->store.Remove("servers", id);
      }
    }
  }

  struct Session {
    char state = 'I';
    bool is_read_only = false;
    std::vector<std::string> writes;
    std::map<std::string, std::string> prepared;
  };

  void Serve(Server& server, int fd) {
    Reader reader(fd);
    std::string line;
    if (!reader.Line(line))
      return;
    std::string word = TakeWord(line);
    const std::string name = TakeWord(line);
    TakeWord(line);
    if (word != "STARTUP" || name != this->service ||
        (!line.empty() && line != server.id)) {
      SendAll(fd, "ERROR MISROUTED " + server.id + "\r\n");
      return;
    }
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      if (!server.is_running)
        return;
      line = "READY I " + PositionOf(server) + "\r\n";
    }
    if (!SendAll(fd, line))
      return;
    Session session;
    while (reader.Line(line)) {
      TakeWord(line);
      const std::string id = TakeWord(line);
      std::string answer;
      if (!this->Run(server, session, id, line, answer))
        return;
      if (!SendAll(fd, answer))
        return;
    }
  }

  // Returns false if the server has crashed and answers nothing.
  bool Run(Server& server,
           Session& session,
           const std::string& id,
           std::string text,
           std::string& answer) {
    const std::string whole = text;
    std::string word = TakeWord(text);
    uint64_t required_term = 0;
    uint64_t required_number = 0;
    if (word == "AFTER") {
      const std::string point = TakeWord(text);
      required_term = std::stoull(point.substr(0, point.find('.')));
      required_number = std::stoull(point.substr(point.find('.') + 1));
      word = TakeWord(text);
    }
    const bool is_statement = word == "READ" || word == "WRITE" ||
                              word == "COMMIT" || word == "EXECUTE";
    if (is_statement)
      SleepMs(kWorkMs);
    std::unique_lock<std::mutex> lock(this->mutex);
    if (!server.is_running)
      return false;
    std::string result = "COMPLETE -\r\n";
    const auto refuse = [&](const std::string& code) {
      result = "ERROR " + code + " " + server.id + "\r\n";
      if (session.state == 'T')
        session.state = 'E';
    };
    const bool is_behind =
        required_number > 0 &&
        (server.log.size() < required_number ||
         server.log[required_number - 1].term != required_term);
    bool is_write = word == "WRITE";
    if (word == "EXECUTE") {
      const std::string name = text.substr(0, text.find(' '));
      if (!session.prepared.count(name))
        refuse("NOSTMT");
      else
        is_write = session.prepared[name] == "WRITE";
    }
    if (session.state == 'E' && word != "ROLLBACK") {
      result = "ERROR MALFORMED failed\r\n";
    } else if (word == "BEGIN") {
      session.is_read_only = text == "READ";
      if (!session.is_read_only && !server.leads)
        refuse("READONLY");
      else if (is_behind)
        refuse("LAGGING");
      else
        session.state = 'T';
    } else if (word == "ROLLBACK") {
      session.state = 'I';
      session.writes.clear();
    } else if (word == "PREPARE") {
      const std::string name = TakeWord(text);
      session.prepared[name] = TakeWord(text);
    } else if (word == "RESET") {
      session.prepared.clear();
    } else if (word == "STATUS" || word == "STEPDOWN") {
      if (word == "STEPDOWN" && server.term < std::stoull(text))
        server.leads = false;
      result = std::string("DATAROW ") +
               (server.leads ? "primary" : "replica") + " " +
               std::to_string(server.term) + " " + PositionOf(server) +
               " 0 0 0 1\r\nCOMPLETE -\r\n";
    } else if (is_statement && result[0] != 'E') {
      const bool is_plain = session.state == 'T' && !session.is_read_only;
      const bool is_empty_commit = word == "COMMIT" && session.writes.empty();
      const std::string receipt = "COMPLETE r." + id + "." + server.id + "\r\n";
      if ((is_write || (is_plain && !is_empty_commit)) && !server.leads) {
        refuse("READONLY");
      } else if (is_behind) {
        refuse("LAGGING");
      } else if (word == "COMMIT") {
        session.state = 'I';
        for (const std::string& write : session.writes)
          if (!this->Append(server, write, lock))
            return false;
        session.writes.clear();
        result = receipt;
      } else if (is_write) {
        if (session.state == 'T')
          session.writes.push_back(id);
        else if (!this->Append(server, id, lock))
          return false;
        result = receipt;
      } else {
        result = "DATAROW row\r\n" + receipt;
      }
      this->record.Line("%s runs %s %s -> %s", server.id.c_str(), id.c_str(),
                        word.c_str(), result.substr(0, 8).c_str());
    }
    answer =
        result + "READY " + session.state + " " + PositionOf(server) + "\r\n";
    return true;
  }

  // Appends a commit and waits until enough replicas have received it. Returns
  // false if the server crashes meanwhile.
  bool Append(Server& server,
              const std::string& request,
              std::unique_lock<std::mutex>& lock) {
    const size_t index = server.log.size();
    server.log.push_back(Commit{server.term, index + 1, request, NowMs()});
    this->changed.wait(lock, [&] {
      if (!server.is_running)
        return true;
      int received = 0;
      for (const auto& replica : this->servers)
        if (replica.get() != &server && replica->is_running &&
            replica->log.size() > index &&
            replica->log[index].request == request)
          ++received;
      return received >= this->sync;
    });
    return server.is_running;
  }

  Record& record;
  Store& store;
  std::string service;
  int sync;
  std::condition_variable changed;
  std::string promoting;
  std::vector<uint64_t> epochs;
  std::mutex publish_mutex;
  uint64_t sequence = 0;
  std::map<std::string, int64_t> heard_ms;
};

// A proxy of the project, as a process of its own.
class Proxy {
 public:
  Proxy(std::string program, std::string folder, std::string name)
      : program(std::move(program)),
        folder(std::move(folder)),
        name(std::move(name)) {}
  ~Proxy() { this->Kill(); }

  void WriteSettings(const std::string& text) {
    std::ofstream(this->folder + "/" + this->name + ".toml") << text;
  }
  void Start() {
    const std::string settings = this->folder + "/" + this->name + ".toml";
    const std::string log = this->folder + "/" + this->name + ".log";
    this->pid = fork();
    if (this->pid != 0)
      return;
    // A proxy ends with the stand-ins, however those end.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setenv("KINGCUPMILL_BOOT", settings.c_str(), 1);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    execl(this->program.c_str(), this->program.c_str(),
          static_cast<char*>(nullptr));
    _exit(127);
  }
  void Signal(int signal) {
    if (this->pid > 0)
      kill(this->pid, signal);
  }
  void Kill() {
    if (this->pid <= 0)
      return;
    kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
    this->pid = -1;
  }
  bool has_ended() {
    int status = 0;
    return this->pid > 0 && waitpid(this->pid, &status, WNOHANG) == this->pid;
  }

 private:
  std::string program;
  std::string folder;
  std::string name;
  pid_t pid = -1;
};

// A caller's session on a proxy.
class Caller {
 public:
  ~Caller() { this->Close(); }
  bool Open(const std::string& ip, int port, const std::string& database) {
    this->Close();
    this->fd = ConnectTo(ip, port);
    if (this->fd < 0)
      return false;
    this->reader = std::make_unique<Reader>(this->fd);
    std::string line;
    if (!SendAll(this->fd, "STARTUP " + database + " review\r\n") ||
        !this->reader->Line(line, 2000) || line.rfind("READY", 0) != 0) {
      this->Close();
      return false;
    }
    return true;
  }
  bool is_open() const { return this->fd >= 0; }
  void Close() {
    if (this->fd >= 0)
      close(this->fd);
    this->fd = -1;
  }
  // Returns the answer up to READY: "COMPLETE ...", "ERROR ...", or "" if the
  // connection ended or the time is over; the session is then closed.
  std::string Ask(const std::string& id,
                  const std::string& text,
                  int64_t limit_ms = 1500) {
    const int64_t end = NowMs() + limit_ms;
    if (this->fd < 0 ||
        !SendAll(this->fd, "QUERY " + id + " " + text + "\r\n")) {
      this->Close();
      return "";
    }
    std::string line;
    std::string result;
    while (this->reader->Line(line, std::max<int64_t>(end - NowMs(), 0))) {
      if (line.rfind("READY", 0) == 0)
        return result;
      if (line.rfind("DATAROW", 0) != 0)
        result = line;
    }
    this->Close();
    return "";
  }

 private:
  int fd = -1;
  std::unique_ptr<Reader> reader;
};

// Returns the first of a range of free ports.
inline int FindPorts(const std::vector<std::string>& ips, int count) {
  srand(static_cast<unsigned>(getpid()) * 7919U +
        static_cast<unsigned>(time(nullptr)));
  for (int attempt = 0; attempt < 200; ++attempt) {
    const int first = 20000 + rand() % 9000;
    bool is_free = true;
    for (const std::string& ip : ips)
      for (int port = first; is_free && port < first + count; ++port) {
        const int fd = ListenOn(ip, port);
        is_free = fd >= 0;
        if (fd >= 0)
          close(fd);
      }
    if (is_free)
      return first;
  }
  return -1;
}

}  // namespace review

#endif  // REVIEW_STANDINS_WORLD_H_
