// A small deployment: proxies in three zones before one service with a primary
// and two replicas.
#ifndef REVIEW_STANDINS_DEPLOYMENT_H_
#define REVIEW_STANDINS_DEPLOYMENT_H_

#include "world.h"

namespace review {

class Deployment {
 public:
  struct Options {
    // The repository, and the folder for settings and logs of the proxies.
    std::string root;
    std::string folder;
    std::string record_path;
    int sync = 0;
    std::vector<int64_t> lags_ms = {0, 20, 20};
    size_t proxies = 3;
    // If not zero, each proxy reaches the store and the promotion order through
    // relays of its own, from this offset on.
    int relay_offset = 0;
  };

  explicit Deployment(const Options& options)
      : options(options),
        record(options.record_path),
        store([this](const std::string& service,
                     const std::string& id,
                     const std::string& holder,
                     uint64_t epoch) {
          return service == "svc1" ? this->group.Promote(id, holder, epoch)
                                   : 409;
        }),
        group(this->record, this->store, "svc1", options.sync) {}

  bool Start() {
    signal(SIGPIPE, SIG_IGN);
    std::vector<std::string> ips = {"127.0.0.1"};
    for (size_t index = 0; index < this->options.proxies; ++index)
      ips.push_back(this->IpOf(index));
    this->base = FindPorts(ips, 40);
    if (this->base < 0)
      return false;
    this->http = std::make_unique<Listener>(
        "127.0.0.1", this->base, [this](int fd) { this->store.Serve(fd); });
    if (!this->http->Start())
      return false;
    if (this->did_choose_ports && !this->did_choose_ports())
      return false;
    const char* const zones[] = {"zone-a", "zone-b", "zone-c"};
    for (size_t index = 0; index < this->options.lags_ms.size(); ++index)
      if (!this->group.AddServer("i-" + std::to_string(index + 1),
                                 zones[index % 3], "127.0.0.1",
                                 this->base + 1 + static_cast<int>(index),
                                 this->options.lags_ms[index]))
        return false;
    json routes = json::array();
    const char* const kinds[] = {"primary", "bounded_stale",
                                 "read_your_writes"};
    const char* const names[] = {"dbp", "dbb", "dby"};
    for (int kind = 0; kind < 3; ++kind) {
      routes.push_back({{"name", std::string("r-") + names[kind]},
                        {"host", names[kind]},
                        {"path_prefix", "/"},
                        {"route_type", kinds[kind]},
                        {"timeout_ms", 800},
                        {"target_latency_ms", 200},
                        {"priority", 1},
                        {"service", "svc1"},
                        {"attempts", 2}});
      if (kind > 0)
        routes.back()["max_staleness_ms"] = 1500;
    }
    const json configuration = {{"version", 7},
                                {"routes", routes},
                                {"services",
                                 {{{"name", "svc1"},
                                   {"health_path", "/health"},
                                   {"max_conns", 16},
                                   {"protocol", "h1"},
                                   {"tls", false},
                                   {"sync_replicas", this->options.sync}}}},
                                {"limits", {{"tx_idle_ms", 3000}}}};
    this->store.Put("op", "config", configuration.dump());
    this->group.Start();
    for (size_t index = 0; index < this->options.proxies; ++index) {
      auto proxy = std::make_unique<Proxy>(
          this->options.root + "/target/kingcupmill-edge", this->options.folder,
          "proxy-" + std::to_string(index + 1));
      std::ostringstream settings;
      const std::string ip = this->IpOf(index);
      settings << "vm = \"edge-" << index + 1 << "\"\nplace = \""
               << zones[index % 3] << "\"\nip = \"" << ip
               << "\"\ncaller_address = \"" << ip << ":" << this->base + 30
               << "\"\nreadiness_address = \"" << ip << ":" << this->base + 31
               << "\"\nstore_address = \"127.0.0.1:" << this->StorePort(index)
               << "\"\npromotion_address = \"127.0.0.1:"
               << this->PromotionPort(index)
               << "\"\npeer_port = " << this->base + 32
               << "\nmetrics_port = " << this->base + 33
               << "\nseed_addresses = \"" << this->IpOf(0) << ":"
               << this->base + 34 << "\"\ngrace_seconds = 6\n";
      proxy->WriteSettings(settings.str());
      proxy->Start();
      this->proxies.push_back(std::move(proxy));
    }
    return true;
  }

  std::string IpOf(size_t index) const {
    return "127.0.3." + std::to_string(index + 1);
  }
  int caller_port() const { return this->base + 30; }
  int StorePort(size_t index) const {
    return this->options.relay_offset == 0
               ? this->base
               : this->base + this->options.relay_offset +
                     2 * static_cast<int>(index);
  }
  int PromotionPort(size_t index) const {
    return this->options.relay_offset == 0 ? this->base
                                           : this->StorePort(index) + 1;
  }
  // Called once the ports are known, before the proxies start.
  std::function<bool()> did_choose_ports;

  Options options;
  Record record;
  Store store;
  Group group;
  std::vector<std::unique_ptr<Proxy>> proxies;
  int base = -1;

 private:
  std::unique_ptr<Listener> http;
};

// Sends writes on its own session until it is stopped, one after another, and
// keeps which of them were acknowledged.
class Writer {
 public:
  Writer(Deployment& deployment, size_t number, std::string database)
      : deployment(deployment), number(number), database(std::move(database)) {}
  void Start() {
    this->thread = std::thread([this] { this->Run(); });
  }
  void Stop() {
    this->is_stopping = true;
    this->thread.join();
  }
  std::mutex mutex;
  // The ids of acknowledged writes, with the time of the answer.
  std::map<std::string, int64_t> acknowledged;
  // Answers by second: sent and succeeded.
  std::map<int64_t, std::pair<int, int>> by_second;

 private:
  void Run() {
    Caller caller;
    size_t next = 0;
    size_t proxy = this->number;
    while (!this->is_stopping) {
      if (!caller.is_open()) {
        proxy = (proxy + 1) % this->deployment.proxies.size();
        if (!caller.Open(this->deployment.IpOf(proxy),
                         this->deployment.caller_port(), this->database)) {
          std::lock_guard<std::mutex> lock(this->mutex);
          ++this->by_second[NowMs() / 1000].first;
          SleepMs(50);
          continue;
        }
      }
      const std::string id =
          "w" + std::to_string(this->number) + "x" + std::to_string(next++);
      this->deployment.record.Line("caller %zu sends %s to proxy %zu",
                                   this->number, id.c_str(), proxy + 1);
      const int64_t sent = NowMs();
      const std::string answer = caller.Ask(id, "WRITE item" + id + " data");
      this->deployment.record.Line("caller %zu gets for %s: %s", this->number,
                                   id.c_str(),
                                   answer.empty() ? "nothing" : answer.c_str());
      {
        std::lock_guard<std::mutex> lock(this->mutex);
        ++this->by_second[sent / 1000].first;
        if (answer.rfind("COMPLETE ", 0) == 0) {
          this->acknowledged[id] = NowMs();
          ++this->by_second[sent / 1000].second;
        }
      }
      SleepMs(answer.rfind("ERROR", 0) == 0 ? 50 : 5);
    }
  }
  Deployment& deployment;
  size_t number;
  std::string database;
  std::atomic<bool> is_stopping{false};
  std::thread thread;
};

}  // namespace review

#endif  // REVIEW_STANDINS_DEPLOYMENT_H_
