// The primary crashes. As the coordinator sends its promotion order, it is cut
// off: what it has sent to the platform is held up and delivered when the cut
// heals, unless it was reset. Checks ONE: the platform never sees a lower epoch
// number after a higher one.
#include "deployment.h"

using review::ConnectTo;
using review::Deployment;
using review::Listener;
using review::SleepMs;
using review::Writer;

namespace {

constexpr int64_t kCutMs = 6400;
constexpr int64_t kFreezeMs = 4000;

// Whether the peer has reset the connection.
bool is_reset(int fd) {
  char byte = 0;
  return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno != EAGAIN;
}

// The path of one proxy to the platform. During a cut nothing passes: bytes of
// open connections are held up, and new connections do not come about.
class Path {
 public:
  explicit Path(int target_port) : target_port(target_port) {}

  std::atomic<bool> is_cut{false};
  // Called when a connection is accepted, before any byte of it is read.
  std::function<void()> did_accept;

  void Serve(int fd) {
    if (this->is_cut) {
      while (this->is_cut)
        SleepMs(5);
      return;
    }
    if (this->did_accept)
      this->did_accept();
    const int server = ConnectTo("127.0.0.1", this->target_port);
    if (server < 0)
      return;
    std::thread back([this, fd, server] { this->Pump(server, fd); });
    this->Pump(fd, server);
    back.join();
    close(server);
  }

 private:
  void Pump(int from, int to) {
    char bytes[8192];
    for (;;) {
      const ssize_t count = recv(from, bytes, sizeof bytes, 0);
      const bool was_cut = this->is_cut;
      while (this->is_cut)
        SleepMs(5);
      if (count <= 0 || (was_cut && is_reset(from)))
        break;
      if (!review::SendAll(to, std::string(bytes, static_cast<size_t>(count))))
        break;
    }
    shutdown(to, SHUT_WR);
  }

  int target_port;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4)
    return 2;
  const bool has_trouble = std::string(argv[3]) != "0";
  Deployment::Options options;
  options.root = argv[1];
  options.folder = argv[2];
  options.record_path = std::string(argv[2]) + "/record.txt";
  options.lags_ms = {0, 20, 20};
  options.relay_offset = 10;
  Deployment deployment(options);
  std::vector<std::unique_ptr<Path>> paths;
  std::vector<std::unique_ptr<Listener>> listeners;
  std::atomic<bool> is_armed{has_trouble};
  deployment.did_choose_ports = [&] {
    for (size_t index = 0; index < options.proxies; ++index) {
      for (const int port :
           {deployment.StorePort(index), deployment.PromotionPort(index)}) {
        paths.push_back(std::make_unique<Path>(deployment.base));
        Path* path = paths.back().get();
        listeners.push_back(std::make_unique<Listener>(
            "127.0.0.1", port, [path](int fd) { path->Serve(fd); }));
        if (!listeners.back()->Start())
          return false;
      }
      Path* store_path = paths[paths.size() - 2].get();
      Path* order_path = paths.back().get();
      order_path->did_accept = [&, index, store_path, order_path] {
        if (!is_armed.exchange(false))
          return;
        store_path->is_cut = true;
        order_path->is_cut = true;
        deployment.record.Line("proxy %zu is cut off from the platform",
                               index + 1);
        std::thread([&, index, store_path, order_path] {
          SleepMs(30);
          deployment.proxies[index]->Signal(SIGSTOP);
          deployment.record.Line("proxy %zu freezes", index + 1);
          SleepMs(kFreezeMs);
          deployment.proxies[index]->Signal(SIGCONT);
          deployment.record.Line("proxy %zu wakes", index + 1);
          SleepMs(kCutMs - kFreezeMs - 30);
          deployment.record.Line("the cut heals");
          store_path->is_cut = false;
          order_path->is_cut = false;
        }).detach();
      };
    }
    return true;
  };
  if (!deployment.Start())
    return 2;
  std::vector<std::unique_ptr<Writer>> writers;
  for (size_t index = 0; index < 6; ++index) {
    writers.push_back(std::make_unique<Writer>(deployment, index, "dbp"));
    writers.back()->Start();
  }
  SleepMs(8000);
  deployment.group.Crash("i-1");
  SleepMs(14000);
  for (const auto& writer : writers)
    writer->Stop();
  uint64_t highest = 0;
  int orders = 0;
  int stale = 0;
  for (const uint64_t epoch : deployment.group.Epochs()) {
    ++orders;
    if (epoch < highest) {
      ++stale;
      deployment.record.Line(
          "ONE: an order with epoch %llu after one with %llu",
          static_cast<unsigned long long>(epoch),
          static_cast<unsigned long long>(highest));
    }
    highest = std::max(highest, epoch);
  }
  deployment.record.Line("orders=%d highest=%llu stale=%d", orders,
                         static_cast<unsigned long long>(highest), stale);
  printf("orders=%d highest=%llu stale=%d\n", orders,
         static_cast<unsigned long long>(highest), stale);
  fflush(stdout);
  for (const auto& proxy : deployment.proxies)
    proxy->Kill();
  if (orders == 0 || (has_trouble && is_armed))
    _exit(2);
  _exit(stale > 0 ? 1 : 0);
}
