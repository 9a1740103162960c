// Stand-ins of a small deployment, for the scripts of this review: the
// platform's store and its promotion call, database servers, and the proxies
// as processes of their own. One thread per connection, loopback only.

#ifndef REVIEW_STANDINS_2_PLATFORM_STANDIN_H_
#define REVIEW_STANDINS_2_PLATFORM_STANDIN_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

// Writes one line per event to record.txt, with seconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file(path) {}
  void Write(const std::string& line);
  double Elapsed() const;

 private:
  std::mutex mutex;
  std::ofstream file;
  Clock::time_point start = Clock::now();
};

// A connected socket with a read buffer.
class Socket {
 public:
  explicit Socket(int descriptor) : descriptor(descriptor) {}
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket();

  // Returns nothing at the end of the stream or after the timeout.
  std::optional<std::string> ReadLine();
  std::optional<std::string> ReadBytes(size_t count);
  bool Write(const std::string& bytes);
  void SetTimeout(std::chrono::milliseconds timeout);

 private:
  bool Fill();

  int descriptor;
  std::string buffer;
};

int Listen(const std::string& ip, uint16_t& port);
int Connect(const std::string& ip, uint16_t port);
// Accepts connections on `listener` and serves each on a thread of its own.
void Serve(int listener, std::function<void(Socket&)> serve);
// Returns the first of `count` consecutive free ports.
uint16_t FindFreePorts(int count);

// The platform's store. A page of rows has at most 500 rows or 1 MB.
class Store {
 public:
  explicit Store(Record& record) : record(record) {}

  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);
  void ServeClient(Socket& socket);

 private:
  struct Row {
    std::string value;
    uint64_t version = 0;
  };
  struct Change {
    std::string table;
    std::string key;
    uint64_t version = 0;
  };
  using Query = std::map<std::string, std::string>;

  std::string Get(const Query& query);
  std::string Feed(const Query& query);
  std::string Apply(const std::string& body, int& status);
  void Write(const std::string& table,
             const std::string& key,
             std::optional<std::string> value);

  Record& record;
  std::mutex mutex;
  std::condition_variable changed;
  uint64_t version = 0;
  std::map<std::string, std::map<std::string, Row>> tables;
  std::vector<Change> changes;
};

// One database server. All servers share the log of the service; the first
// one is its primary, the others are replicas that have what it has.
class Database {
 public:
  struct Log {
    std::atomic<uint64_t> position = 0;
  };
  // The rows of the answer to a read of `item`.
  using Rows = std::function<std::vector<std::string>(const std::string& item)>;

  Database(Record& record,
           Log& log,
           std::string service,
           std::string id,
           bool is_primary,
           bool log_statements,
           Rows rows);
  void ServeClient(Socket& socket);

 private:
  struct Session {
    // The access of each prepared statement, by the hash of its name.
    std::map<size_t, std::string> prepared;
    char state = 'I';
    bool did_write = false;
  };
  std::string Answer(Session& session, const std::string& id, std::string text);

  Record& record;
  Log& log;
  std::string service;
  std::string id;
  bool is_primary;
  bool log_statements;
  Rows rows;
};

// A proxy that is started again after a short delay whenever it ends.
class Proxy {
 public:
  Proxy(Record& record, std::string name, std::string settings_path);

  void Start();
  // Forwards a signal of the test to the process.
  void Signal(int signal);
  // Ends the process for good.
  void Stop();
  // Kills the process if it holds more memory than its machine has, as the
  // platform does.
  void EnforceMemory(size_t limit_bytes);
  size_t peak_bytes() const { return this->peak; }
  // How often the process has ended although the test sent it no signal, or
  // for its memory.
  int own_ends() const { return this->own_end_count; }

 private:
  void KeepRunning();

  Record& record;
  std::string name;
  std::string settings_path;
  std::mutex mutex;
  pid_t pid = -1;
  bool was_signalled = false;
  bool is_stopping = false;
  std::atomic<int> own_end_count = 0;
  std::atomic<size_t> peak = 0;
  std::atomic<bool> has_stopped = true;
};

// A deployment with three zones, one proxy and one database server in each.
class Deployment {
 public:
  Deployment(Record& record, std::string folder, Database::Rows rows);

  // Writes the configuration and the servers' entries, then starts the proxies.
  void Start();
  void Stop();

  Record& record;
  Store store;
  std::string service = "svc-stock";
  // Whether each statement that a server runs gets a line in the record.
  bool log_statements = true;
  std::vector<Proxy*> proxies;
  // Where callers connect to each proxy.
  std::vector<std::pair<std::string, uint16_t>> caller_addresses;

 private:
  std::string folder;
  Database::Rows rows;
  Database::Log log;
  std::vector<Database*> databases;
};

// The outcome of one request on a session of its own.
struct RequestOutcome {
  bool is_connected = false;
  bool is_answered = false;
  // The line with COMPLETE or ERROR.
  std::string result;
  size_t rows = 0;
  size_t bytes = 0;
};
RequestOutcome SendRequest(const std::pair<std::string, uint16_t>& address,
                           const std::string& database,
                           const std::string& id,
                           const std::string& text,
                           std::chrono::milliseconds timeout);

}  // namespace review

#endif  // REVIEW_STANDINS_2_PLATFORM_STANDIN_H_
