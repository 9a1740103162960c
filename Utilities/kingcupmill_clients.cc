// Runs crowds of badly behaved clients against proxies in processes of their
// own. Meta/hostile_clients.sh starts it.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <spdlog/spdlog.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "LibWire/event_loop.h"
#include "LibWire/http_server.h"
#include "testing/soak_environment.h"

namespace {

using kingcupmill::EventLoop;
using kingcupmill::HttpServer;
using kingcupmill::platform::SoakEnvironment;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Exit codes, as of kingcupmill-soak.
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitViolations = 3;

constexpr size_t kMiB = size_t{1} << 20U;

// The smallest VM has 160 MB and 4,300 descriptors, of which 200 are reserved
// for files. Both are halved here, so that half the crowd shows a fault.
constexpr size_t kScale = 2;
constexpr size_t kMaximumResidentKb = 160'000'000 / kScale / 1024;
constexpr size_t kDescriptorLimit = 4'300 / kScale;
constexpr size_t kMaximumDescriptors = (4'300 - 200) / kScale;

// What a proxy that knows these settings is started with; the times are lowered
// so that the test is short.
constexpr const char* kLimitSettings =
    "memory_mb = 80\n"
    "max_descriptors = 2150\n"
    "caller_startup_ms = 1000\n"
    "caller_line_ms = 1000\n";

constexpr size_t kProxies = 2;
constexpr size_t kHttpThreads = 4;
// A crowd ends when it has nothing left to do, makes no progress for the first
// time, or has run for the second time.
constexpr milliseconds kStalledTime{700};
constexpr milliseconds kCrowdTime{6'000};
// Connections are opened in batches of this size with a pause after each.
constexpr size_t kConnectionBatch = 50;
constexpr milliseconds kBatchPause{10};
constexpr milliseconds kConnectTime{4'000};
// Only a hang may exceed these. They are not limits of the product.
constexpr milliseconds kStartTime{60'000};
constexpr milliseconds kServedTime{20'000};
constexpr int kAnswerSeconds = 5;
constexpr milliseconds kSettleTime{2'000};

enum class Port {
  kCaller = 200,
  kReadiness = 201,
  kPeer = 202,
  kMetrics = 203
};

// What each connection of a crowd sends after its opening.
enum class Message {
  kNone,
  kWrite,
  // Kept by the session.
  kSet,
  // Answered with an error that has the same size.
  kUnknownName,
  // Without a line end.
  kFiller,
  // The first frame of a WebSocket message of several frames.
  kWebSocketFrame,
};

// What each connection does besides sending.
enum class Manner {
  kReads,
  kNeverReads,
  // Never reads, and closes its direction once it has sent everything.
  kHalfCloses,
  // Never reads, and sends one more byte from time to time.
  kTrickles,
};

struct Crowd {
  const char* name;
  Port port;
  size_t connections;
  std::string opening;
  Message message;
  size_t messages;
  size_t message_bytes;
  // How much a connection sends at once before the next one has its turn.
  size_t piece_bytes;
  Manner manner;
};

const std::string kStartup = "STARTUP db-0-0 crowd\r\n";
const std::string kHttpHead =
    "GET /kingcupmill/readiness HTTP/1.1\r\nHost: a\r\n";
const std::string kHttpBody =
    "POST /kingcupmill/readiness HTTP/1.1\r\nHost: a\r\n"
    "Content-Length: 1000000000\r\n\r\n";
const std::string kHttpChunked =
    "POST /kingcupmill/readiness HTTP/1.1\r\nHost: a\r\n"
    "Transfer-Encoding: chunked\r\n\r\n3fffffff\r\n";
const std::string kHandshake =
    "GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    "Sec-WebSocket-Version: 13\r\n"
    "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";

// The crowds. They and the bounds above are fixed: limits of the product are
// made to fit them, not the other way round.
std::vector<Crowd> AllCrowds() {
  using enum Manner;
  using M = Message;
  const Port caller = Port::kCaller;
  return {
      {"legal messages in one piece", caller, 150, kStartup, M::kWrite, 1, kMiB,
       kMiB, kReads},
      {"legal messages in small pieces", caller, 150, kStartup, M::kWrite, 1,
       kMiB, 4'096, kReads},
      {"lines that never end", caller, 150, "", M::kFiller, 4, kMiB, 65'536,
       kReads},
      {"lines that never end in sessions", caller, 150, kStartup, M::kFiller, 4,
       kMiB, 65'536, kReads},
      {"large statements sent ahead", caller, 6, kStartup, M::kWrite, 64, kMiB,
       kMiB, kNeverReads},
      {"small statements sent ahead", caller, 100, kStartup, M::kWrite, 20'000,
       100, 65'536, kNeverReads},
      {"large answers never read", caller, 60, kStartup, M::kUnknownName, 8,
       kMiB, kMiB, kNeverReads},
      {"session values", caller, 4, kStartup, M::kSet, 60, kMiB, kMiB, kReads},
      {"unfinished lines", caller, 300, "", M::kFiller, 1, kMiB / 2, 65'536,
       kNeverReads},
      {"unfinished lines in sessions", caller, 300, kStartup, M::kFiller, 1,
       kMiB / 2, 65'536, kNeverReads},
      {"slow senders", caller, 200, kStartup, M::kFiller, 1, kMiB / 2, 65'536,
       kTrickles},
      {"half-closed connections", caller, 200, kStartup, M::kWrite, 4, kMiB / 4,
       65'536, kHalfCloses},
      {"silent connections", caller, 2'600, "", M::kNone, 0, 0, 1, kNeverReads},
      {"silent sessions", caller, 2'600, kStartup, M::kNone, 0, 0, 100,
       kNeverReads},
      {"readiness: header without end", Port::kReadiness, 60, kHttpHead,
       M::kFiller, 2, kMiB, 65'536, kReads},
      {"readiness: huge body", Port::kReadiness, 60, kHttpBody, M::kFiller, 3,
       kMiB, 65'536, kReads},
      {"readiness: huge chunked body", Port::kReadiness, 60, kHttpChunked,
       M::kFiller, 3, kMiB, 65'536, kReads},
      {"readiness: silent connections", Port::kReadiness, 2'600, "", M::kNone,
       0, 0, 1, kNeverReads},
      {"metrics: header without end", Port::kMetrics, 60, kHttpHead, M::kFiller,
       2, kMiB, 65'536, kReads},
      {"metrics: silent connections", Port::kMetrics, 2'600, "", M::kNone, 0, 0,
       1, kNeverReads},
      {"peers: header without end", Port::kPeer, 60, kHttpHead, M::kFiller, 2,
       kMiB, 65'536, kReads},
      {"peers: huge body", Port::kPeer, 60, kHttpBody, M::kFiller, 3, kMiB,
       65'536, kReads},
      {"peers: unfinished messages", Port::kPeer, 30, kHandshake,
       M::kWebSocketFrame, 1, 4 * kMiB, 65'536, kReads},
      {"peers: silent connections", Port::kPeer, 2'600, "", M::kNone, 0, 0, 1,
       kNeverReads},
  };
}

std::string MakeMessage(Message kind, size_t bytes) {
  std::string line;
  switch (kind) {
    case Message::kNone:
      return line;
    case Message::kFiller:
      return std::string(bytes, 'a');
    case Message::kWrite:
      line = "QUERY crowd.1-1 WRITE item ";
      break;
    case Message::kSet:
      // The name differs between messages; see Client::Send().
      line = "QUERY crowd.1-1 SET name000 ";
      break;
    case Message::kUnknownName:
      line = "QUERY crowd.1-1 EXECUTE ";
      break;
    case Message::kWebSocketFrame: {
      // An unfinished binary message with a masking key of zeros and an eight
      // byte length.
      line = {'\x02', '\xff'};
      for (int shift = 56; shift >= 0; shift -= 8)
        line.push_back(static_cast<char>((bytes >> shift) & 0xffU));
      line.append(4, '\0');
      line.append(bytes, 'a');
      return line;
    }
  }
  const std::string_view end =
      kind == Message::kUnknownName ? " item\r\n" : "\r\n";
  line.append(bytes - line.size() - (end.size() - 2), 'a');
  line += end;
  return line;
}

sockaddr_in AddressOf(size_t proxy, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr =
      htonl(0x7f000100U + static_cast<uint32_t>(proxy) + 1);
  return address;
}

// One connection of a crowd.
class Client {
 public:
  Client(const Crowd& crowd, const std::string& message)
      : crowd(crowd), message(message) {}
  ~Client() { this->Close(); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void Connect(const sockaddr_in& address) {
    this->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (this->crowd.manner != Manner::kReads) {
      const int bytes = 4'096;
      setsockopt(this->socket, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    }
    const int result =
        connect(this->socket, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address));
    if (result != 0 && errno != EINPROGRESS)
      this->Close();
  }

  void WaitUntilConnected(Clock::time_point end) const {
    if (!this->is_open())
      return;
    const auto left =
        std::chrono::duration_cast<milliseconds>(end - Clock::now());
    pollfd event{this->socket, POLLOUT, 0};
    poll(&event, 1, static_cast<int>(std::max(left, milliseconds(0)).count()));
  }

  bool is_open() const { return this->socket >= 0; }
  bool has_sent_all() const {
    return this->sent_bytes == this->crowd.opening.size() +
                                   this->crowd.messages * this->message.size();
  }

  // Sends a piece and reads what has arrived. Returns whether anything moved.
  bool Act() {
    if (!this->is_open())
      return false;
    bool has_moved = false;
    if (!this->has_sent_all())
      has_moved = this->Send();
    else if (this->crowd.manner == Manner::kHalfCloses)
      shutdown(this->socket, SHUT_WR);
    if (this->crowd.manner == Manner::kReads && this->is_open())
      has_moved = this->Read() || has_moved;
    return has_moved;
  }

  void Trickle() {
    if (this->is_open() && this->has_sent_all())
      this->HandleResult(::send(this->socket, "a", 1, MSG_NOSIGNAL));
  }

 private:
  bool Send() {
    const size_t opening = this->crowd.opening.size();
    std::string_view part;
    if (this->sent_bytes < opening) {
      part = std::string_view(this->crowd.opening).substr(this->sent_bytes);
    } else {
      const size_t offset = (this->sent_bytes - opening) % this->message.size();
      part = std::string_view(this->message).substr(offset);
      // Values need different names, or each would replace the previous one.
      if (this->crowd.message == Message::kSet && offset == 0)
        return this->SendNamed((this->sent_bytes - opening) /
                               this->message.size());
    }
    part = part.substr(0, this->crowd.piece_bytes);
    return this->HandleResult(
        ::send(this->socket, part.data(), part.size(), MSG_NOSIGNAL));
  }

  bool SendNamed(size_t number) {
    std::string head = this->message.substr(0, this->message.find("000"));
    const std::string digits = std::to_string(1'000 + number);
    head += digits.substr(1);
    return this->HandleResult(
        ::send(this->socket, head.data(), head.size(), MSG_NOSIGNAL));
  }

  bool Read() {
    char buffer[16'384];
    const ssize_t count = ::recv(this->socket, buffer, sizeof(buffer), 0);
    if (count == 0 || (count < 0 && errno != EAGAIN && errno != ENOTCONN))
      this->Close();
    return count > 0;
  }

  bool HandleResult(ssize_t count) {
    if (count < 0) {
      if (errno != EAGAIN && errno != ENOTCONN)
        this->Close();
      return false;
    }
    this->sent_bytes += this->has_sent_all() ? 0 : static_cast<size_t>(count);
    return count > 0;
  }

  void Close() {
    if (this->socket >= 0)
      close(this->socket);
    this->socket = -1;
  }

  const Crowd& crowd;
  const std::string& message;
  int socket = -1;
  size_t sent_bytes = 0;
};

// One session in the platform's line protocol, over a blocking socket.
class Session {
 public:
  ~Session() {
    if (this->socket >= 0)
      close(this->socket);
  }

  // Opens a session and runs one statement. Returns whether it succeeded.
  bool RunStatement(const sockaddr_in& address, const std::string& statement) {
    this->socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const timeval timeout{kAnswerSeconds, 0};
    setsockopt(this->socket, SOL_SOCKET, SO_RCVTIMEO, &timeout,
               sizeof(timeout));
    setsockopt(this->socket, SOL_SOCKET, SO_SNDTIMEO, &timeout,
               sizeof(timeout));
    if (connect(this->socket, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0)
      return false;
    return this->Send("STARTUP db-0-0 ordinary\r\n") &&
           this->ReadLine().starts_with("READY") && this->Send(statement) &&
           this->ReadLine().starts_with("DATAROW") &&
           this->ReadLine().starts_with("COMPLETE");
  }

 private:
  bool Send(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t count =
          ::send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (count <= 0)
        return false;
      bytes.remove_prefix(static_cast<size_t>(count));
    }
    return true;
  }

  std::string ReadLine() {
    size_t end = this->received.find("\r\n");
    while (end == std::string::npos) {
      char buffer[4'096];
      const ssize_t count = ::recv(this->socket, buffer, sizeof(buffer), 0);
      if (count <= 0)
        return "";
      this->received.append(buffer, static_cast<size_t>(count));
      end = this->received.find("\r\n");
    }
    std::string line = this->received.substr(0, end);
    this->received.erase(0, end + 2);
    return line;
  }

  int socket = -1;
  std::string received;
};

// Returns a number of /proc/PID/status in KiB, or 0 if the process is gone.
size_t ReadStatus(pid_t process, std::string_view name) {
  std::ifstream file("/proc/" + std::to_string(process) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (!line.starts_with(name))
      continue;
    const size_t start = line.find_first_of("0123456789");
    size_t number = 0;
    std::from_chars(line.data() + start, line.data() + line.size(), number);
    return number;
  }
  return 0;
}

size_t CountDescriptors(pid_t process) {
  std::error_code error;
  const std::filesystem::directory_iterator files(
      "/proc/" + std::to_string(process) + "/fd", error);
  return error ? 0
               : static_cast<size_t>(std::distance(begin(files), end(files)));
}

// The proxies, each a child process.
class Proxies {
 public:
  Proxies(std::string program, std::string folder, uint16_t base_port)
      : program(std::move(program)),
        folder(std::move(folder)),
        base_port(base_port),
        processes(kProxies, 0) {}
  ~Proxies() { this->Stop(); }
  Proxies(const Proxies&) = delete;
  Proxies& operator=(const Proxies&) = delete;

  // Adds the limits to the settings if this build of the proxy knows them.
  bool AddLimits() const {
    const std::string trial = this->SettingsOf(0) + ".trial";
    std::filesystem::copy_file(
        this->SettingsOf(0), trial,
        std::filesystem::copy_options::overwrite_existing);
    std::ofstream(trial, std::ios::app) << kLimitSettings;
    int status = 0;
    waitpid(this->Spawn(trial, "/dev/null", true), &status, 0);
    if (!WIFEXITED(status) || WEXITSTATUS(status) != 0)
      return false;
    for (size_t index = 0; index < kProxies; ++index)
      std::ofstream(this->SettingsOf(index), std::ios::app) << kLimitSettings;
    return true;
  }

  // Returns whether all proxies serve.
  bool Start() {
    for (size_t index = 0; index < kProxies; ++index)
      this->processes[index] = this->Spawn(
          this->SettingsOf(index), this->SettingsOf(index) + ".log", false);
    return this->WaitUntilServed(kStartTime);
  }

  void Stop() {
    for (pid_t& process : this->processes) {
      if (process <= 0)
        continue;
      kill(process, SIGKILL);
      waitpid(process, nullptr, 0);
      process = 0;
    }
  }

  // Whether an ordinary session on each proxy is served, with repeated attempts
  // within the time.
  bool WaitUntilServed(milliseconds time) {
    const auto end = Clock::now() + time;
    for (size_t index = 0; index < kProxies; ++index) {
      while (!this->RunStatement(index, "item data")) {
        if (Clock::now() > end || !this->is_alive(index))
          return false;
        std::this_thread::sleep_for(milliseconds(100));
      }
    }
    return true;
  }

  bool RunStatement(size_t index, const std::string& text) {
    const std::string id =
        "ordinary." + std::to_string(++this->statement_number) + "-1";
    Session session;
    return session.RunStatement(this->AddressOf(index, Port::kCaller),
                                "QUERY " + id + " WRITE " + text + "\r\n");
  }

  sockaddr_in AddressOf(size_t index, Port port) const {
    return ::AddressOf(
        index, static_cast<uint16_t>(this->base_port + static_cast<int>(port)));
  }

  bool is_alive(size_t index) const {
    return waitpid(this->processes[index], nullptr, WNOHANG) == 0;
  }
  pid_t process(size_t index) const { return this->processes[index]; }

  // Makes VmHWM the current size.
  void ResetPeaks() const {
    for (const pid_t process : this->processes)
      std::ofstream("/proc/" + std::to_string(process) + "/clear_refs") << "5";
  }

 private:
  std::string SettingsOf(size_t index) const {
    return this->folder + "/proxy-" + std::to_string(index) + ".toml";
  }

  pid_t Spawn(const std::string& settings,
              const std::string& log,
              bool is_check) const {
    const pid_t process = fork();
    if (process != 0)
      return process;
    const rlimit limit{kDescriptorLimit, kDescriptorLimit};
    setrlimit(RLIMIT_NOFILE, &limit);
    const int output =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, S_IRUSR | S_IWUSR);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execl(this->program.c_str(), this->program.c_str(), "--settings",
          settings.c_str(), is_check ? "--check-settings" : nullptr, nullptr);
    std::_Exit(127);
  }

  std::string program;
  std::string folder;
  uint16_t base_port;
  std::vector<pid_t> processes;
  uint64_t statement_number = 0;
};

// Prints the outcome of a case and returns whether it passed. `has_been_served`
// tells whether an ordinary session was answered.
bool Judge(const Proxies& proxies, const char* name, bool has_been_served) {
  bool has_passed = has_been_served;
  std::string text;
  for (size_t index = 0; index < kProxies; ++index) {
    const pid_t process = proxies.process(index);
    const bool is_alive = proxies.is_alive(index);
    const size_t peak = ReadStatus(process, "VmHWM");
    const size_t descriptors = CountDescriptors(process);
    has_passed = has_passed && is_alive && peak <= kMaximumResidentKb &&
                 descriptors <= kMaximumDescriptors;
    text += is_alive
                ? " " + std::to_string(peak) + " kB (now " +
                      std::to_string(ReadStatus(process, "VmRSS")) + " kB), " +
                      std::to_string(descriptors) + " descriptors;"
                : " ended;";
  }
  std::printf("%s: %s:%s %s\n", has_passed ? "passed" : "FAILED", name,
              text.c_str(),
              has_been_served ? "an ordinary session is served"
                              : "no ordinary session is served");
  std::fflush(stdout);
  return has_passed;
}

void RunCrowd(const Crowd& crowd,
              const sockaddr_in& address,
              const std::string& message,
              std::vector<std::unique_ptr<Client>>& clients) {
  for (size_t index = 0; index < crowd.connections; ++index) {
    clients.push_back(std::make_unique<Client>(crowd, message));
    clients.back()->Connect(address);
    // The queue of a listening socket must not overflow, or connections open
    // only when the system sends their first packet again.
    if (index % kConnectionBatch == kConnectionBatch - 1)
      std::this_thread::sleep_for(kBatchPause);
  }
  const auto connected_by = Clock::now() + kConnectTime;
  for (const auto& client : clients)
    client->WaitUntilConnected(connected_by);
  const auto end = Clock::now() + kCrowdTime;
  auto moved_at = Clock::now();
  while (Clock::now() < end && Clock::now() - moved_at < kStalledTime) {
    bool has_moved = false;
    for (const auto& client : clients)
      has_moved = client->Act() || has_moved;
    if (has_moved)
      moved_at = Clock::now();
    else
      std::this_thread::sleep_for(milliseconds(2));
  }
  if (crowd.manner != Manner::kTrickles)
    return;
  for (int count = 0; count < 15; ++count) {
    std::this_thread::sleep_for(milliseconds(100));
    for (const auto& client : clients)
      client->Trickle();
  }
}

// Waits until the proxies have closed what the crowd left.
void Settle(const Proxies& proxies, const std::vector<size_t>& usual) {
  const auto end = Clock::now() + kSettleTime;
  for (size_t index = 0; index < kProxies; ++index) {
    while (CountDescriptors(proxies.process(index)) > usual[index] + 20 &&
           Clock::now() < end)
      std::this_thread::sleep_for(milliseconds(20));
  }
}

// Runs the crowds whose names contain `only`. Returns the number that failed.
size_t RunAll(Proxies& proxies, const std::string& only) {
  size_t failed = 0;
  std::vector<size_t> usual;
  for (size_t index = 0; index < kProxies; ++index)
    usual.push_back(CountDescriptors(proxies.process(index)));
  proxies.ResetPeaks();
  const std::string largest(
      kMiB - std::string("QUERY ordinary.1000-1 WRITE item ").size(), 'a');
  const bool is_large_served = proxies.RunStatement(0, "item " + largest);
  if (!Judge(proxies, "one legal message of 1 MiB in calm", is_large_served))
    ++failed;
  for (const Crowd& crowd : AllCrowds()) {
    if (std::string_view(crowd.name).find(only) == std::string_view::npos)
      continue;
    proxies.ResetPeaks();
    const std::string message = MakeMessage(crowd.message, crowd.message_bytes);
    std::vector<std::unique_ptr<Client>> clients;
    RunCrowd(crowd, proxies.AddressOf(0, crowd.port), message, clients);
    // The crowd's connections stay open until the case has been judged.
    const bool has_been_served = proxies.WaitUntilServed(kServedTime);
    const bool has_passed = Judge(proxies, crowd.name, has_been_served);
    clients.clear();
    if (has_passed) {
      Settle(proxies, usual);
      continue;
    }
    ++failed;
    // A fault must not show in the next case again.
    proxies.Stop();
    if (!proxies.Start()) {
      std::printf("FAILED: the proxies don't start again\n");
      return failed + 1;
    }
  }
  return failed;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Crowds of badly behaved clients against proxies");
  SoakEnvironment::Options options;
  options.proxies = kProxies;
  options.base_port = 22'000;
  std::string program = "build/kingcupmill-edge";
  std::string only;
  app.add_option("--folder", options.folder, "Folder for settings and logs")
      ->required();
  app.add_option("--program", program, "The proxy's program")
      ->capture_default_str();
  app.add_option("--base-port", options.base_port, "First port")
      ->capture_default_str();
  app.add_option("--only", only, "Run only crowds whose name contains this");
  CLI11_PARSE(app, argc, argv);
  spdlog::set_level(spdlog::level::off);
  signal(SIGPIPE, SIG_IGN);
  HttpServer::InitializeThreads(kHttpThreads);
  EventLoop loop;
  SoakEnvironment environment(loop, options);
  const auto start_result = environment.Start();
  if (!start_result) {
    std::fprintf(stderr, "kingcupmill-clients: %s\n",
                 start_result.error().message.c_str());
    return kExitFailed;
  }
  loop.Start();
  size_t failed = 0;
  {
    Proxies proxies(program, options.folder, options.base_port);
    std::printf("limits in the settings: %s\n",
                proxies.AddLimits() ? "yes" : "unknown to this build");
    if (!proxies.Start()) {
      std::fprintf(stderr, "kingcupmill-clients: the proxies don't serve\n");
      return kExitFailed;
    }
    failed = RunAll(proxies, only);
  }
  std::printf("hostile clients: %zu cases failed\n", failed);
  std::fflush(stdout);
  // An ordinary exit would wait for long polls of the store.
  std::_Exit(failed == 0 ? kExitOk : kExitViolations);
}
