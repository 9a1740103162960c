#include "deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>
#include <utility>

#include "socket.h"

namespace review {

using nlohmann::json;

namespace {

constexpr const char* kService = "svc1";
constexpr std::array kZones = {"zone-a", "zone-b", "zone-c"};
constexpr std::chrono::seconds kStartLimit(25);
constexpr std::chrono::milliseconds kRestartDelay(500);

// Ports below those that the kernel assigns to outgoing connections.
constexpr unsigned kFirstPort = 20000;
constexpr unsigned kPortRange = 10000;

// Returns a port that is free at the address and was not returned before.
uint16_t FindPort(const std::string& ip) {
  static unsigned next = static_cast<unsigned>(getpid()) * 16;
  for (;;) {
    const auto port = static_cast<uint16_t>(kFirstPort + next++ % kPortRange);
    if (Socket::Listen(ip, port).is_valid())
      return port;
  }
}

std::string AddressAt(const std::string& ip) {
  return ip + ":" + std::to_string(FindPort(ip));
}

bool ReadOnce(const std::string& front) {
  const Socket caller = Socket::Connect(front);
  std::string buffer;
  if (!caller.is_valid() ||
      !caller.Send(std::string("STARTUP ") + Deployment::kDatabase + "\r\n"))
    return false;
  const auto greeting = caller.ReadLine(buffer);
  if (!greeting || !greeting->starts_with("READY"))
    return false;
  caller.Send("QUERY start READ a1\r\n");
  const auto first = caller.ReadLine(buffer);
  return first && first->starts_with("DATAROW");
}

}  // namespace

Deployment::Deployment(Record& record, Options options)
    : record(record), options(std::move(options)) {
  for (size_t index = 0; index < kZones.size(); ++index)
    this->servers.push_back(std::make_unique<DatabaseServer>(
        record, kService, "i-" + std::to_string(index + 1),
        index == 0 ? DatabaseServer::Role::kPrimary
                   : DatabaseServer::Role::kReplica));
  this->Publish();
  // The port for other proxies is the same on all machines.
  const uint16_t peer_port = FindPort("127.0.1.1");
  for (size_t proxy = 0; proxy < this->options.proxies; ++proxy) {
    const std::string ip = "127.0.1." + std::to_string(proxy + 1);
    this->fronts.push_back(AddressAt(ip));
    const std::string metrics = AddressAt(ip);
    std::ofstream(this->options.folder + "/proxy-" + std::to_string(proxy) +
                  ".toml")
        << "vm = \"edge-" << proxy + 1 << "\"\nplace = \"" << kZones[proxy]
        << "\"\nip = \"" << ip << "\"\ncaller_address = \""
        << this->fronts.back() << "\"\nreadiness_address = \"" << AddressAt(ip)
        << "\"\nstore_address = \"" << this->platform.address()
        << "\"\npromotion_address = \"" << this->platform.address()
        << "\"\npeer_port = " << peer_port
        << "\nmetrics_port = " << metrics.substr(metrics.rfind(':') + 1)
        << "\nseed_addresses = \"127.0.1.1:1,127.0.1.2:1\"\ngrace_seconds = "
        << kGraceSeconds
        << "\ntarget_drain_ms = 7000\nmemory_mb = " << kMemoryMb
        << "\nmax_descriptors = 4300\n";
    this->processes.push_back(this->Start(proxy));
    this->ends.push_back(0);
    this->peaks.push_back(0);
  }
}

void Deployment::Finish(int code) {
  for (size_t proxy = 0; proxy < this->processes.size(); ++proxy) {
    if (this->has_ended(proxy))
      continue;
    kill(this->processes[proxy], SIGKILL);
    waitpid(this->processes[proxy], nullptr, 0);
  }
  std::_Exit(code);
}

void Deployment::Publish() {
  this->platform.Put(
      "op", "config",
      json{{"version", 7},
           {"routes",
            {{{"host", kDatabase},
              {"service", kService},
              {"route_type", "bounded_stale"},
              {"timeout_ms", kStatementTimeoutMs},
              {"target_latency_ms", 300},
              {"priority", 2},
              {"max_staleness_ms", 1500}}}},
           {"services",
            {{{"name", kService}, {"max_conns", 16}, {"sync_replicas", 0}}}},
           {"limits", {{"tx_idle_ms", 3000}}}}
          .dump());
  for (size_t index = 0; index < this->servers.size(); ++index) {
    const DatabaseServer& server = *this->servers[index];
    this->platform.Put(
        "servers", server.id(),
        json{{"service", kService},
             {"address", server.address()},
             {"zone", kZones[index]},
             {"version", "1"},
             {"capacity", 2},
             {"state", "ready"},
             {"warmup_left_ms", 0},
             {"sequence", 1},
             {"born", 1'796'000'000'000 + index},
             {"db_role", server.is_primary() ? "primary" : "replica"}}
            .dump());
  }
}

pid_t Deployment::Start(size_t proxy) {
  const std::string base =
      this->options.folder + "/proxy-" + std::to_string(proxy);
  std::istringstream words(this->options.command);
  std::vector<std::string> arguments;
  std::string word;
  while (words >> word)
    arguments.push_back(word);
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (std::string& argument : arguments)
    argv.push_back(argument.data());
  argv.push_back(nullptr);
  std::string boot = "KINGCUPMILL_BOOT=" + base + ".toml";
  std::string path = "PATH=/usr/bin:/bin";
  std::array<char*, 3> environment = {boot.data(), path.data(), nullptr};
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, (base + ".log").c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  pid_t process = -1;
  if (posix_spawn(&process, arguments.front().c_str(), &actions, nullptr,
                  argv.data(), environment.data()) != 0)
    process = -1;
  posix_spawn_file_actions_destroy(&actions);
  std::ofstream(this->options.folder + "/processes", std::ios::app)
      << process << "\n";
  return process;
}

bool Deployment::WaitUntilServing() {
  const auto limit = std::chrono::steady_clock::now() + kStartLimit;
  for (const std::string& front : this->fronts) {
    while (!ReadOnce(front)) {
      if (std::chrono::steady_clock::now() > limit)
        return false;
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
  }
  // Homes and leases settle.
  std::this_thread::sleep_for(std::chrono::seconds(3));
  return true;
}

void Deployment::Signal(size_t proxy, int signal) {
  this->record.Write("platform sends signal " + std::to_string(signal) +
                     " to proxy " + std::to_string(proxy + 1));
  kill(this->processes[proxy], signal);
}

bool Deployment::has_ended(size_t proxy) {
  if (this->processes[proxy] <= 0)
    return true;
  int status = 0;
  if (waitpid(this->processes[proxy], &status, WNOHANG) == 0)
    return false;
  this->record.Write("proxy " + std::to_string(proxy + 1) +
                     " has ended with status " + std::to_string(status));
  this->processes[proxy] = -1;
  return true;
}

void Deployment::EnforceMemory(size_t proxy) {
  const pid_t process = this->processes[proxy];
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  std::string word;
  size_t kilobytes = 0;
  while (status >> word) {
    if (word == "VmRSS:")
      status >> kilobytes;
  }
  this->peaks[proxy] = std::max(this->peaks[proxy], kilobytes);
  if (kilobytes * 1024 <= kMemoryMb * 1'000'000)
    return;
  this->record.Write("proxy " + std::to_string(proxy + 1) + " holds " +
                     std::to_string(kilobytes) + " kB and is killed");
  ++this->ends[proxy];
  kill(process, SIGKILL);
  waitpid(process, nullptr, 0);
  std::this_thread::sleep_for(kRestartDelay);
  this->processes[proxy] = this->Start(proxy);
}

bool Deployment::has_run(const std::string& request_id) {
  for (const auto& server : this->servers) {
    if (server->has_run(request_id))
      return true;
  }
  return false;
}

}  // namespace review
