// Whether an answer of many rows reaches a client after the proxy got SIGHUP.
// Usage: hup_answer FOLDER RECORD COMMAND...
// TROUBLE=0 sends no SIGHUP.

#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <string>

#include "deployment.h"
#include "reader.h"
#include "record.h"

namespace {

using review::Deployment;
using review::Reader;
using review::Record;

// Each row is below the 1 MiB of a message.
constexpr const char* kItem = "rows-5-950000";
constexpr int kReads = 5;
// Requests count that are sent this long after the SIGHUP (`config_apply_ms`).
constexpr int kConfigApplyMs = 3000;

[[noreturn]] void Run(const std::string& folder,
                      const std::string& record_path,
                      const std::string& command) {
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = !trouble || std::string(trouble) != "0";
  Record record(record_path);
  Deployment deployment(record, {command, folder, 2});
  if (!deployment.WaitUntilServing()) {
    record.Write("the deployment does not serve");
    deployment.Finish(2);
  }
  const int64_t signalled_at_ms = record.NowMs();
  if (has_trouble)
    deployment.Signal(0, SIGHUP);
  int lost = 0;
  int cut = 0;
  for (int read = 1; read <= kReads; ++read) {
    Reader reader(record, "reader" + std::to_string(read), kItem);
    const auto sent = reader.Run(deployment.front(0));
    if (!sent)
      deployment.Finish(2);
    const Reader::Request& request = *sent;
    cut += request.is_complete ? 0 : 1;
    const bool is_after_signal =
        has_trouble && request.sent_at_ms >= signalled_at_ms &&
        request.sent_at_ms <= signalled_at_ms + kConfigApplyMs;
    const bool is_in_time = request.ended_at_ms - request.sent_at_ms <
                            Deployment::kStatementTimeoutMs;
    if (request.is_complete || !is_after_signal || !is_in_time ||
        !deployment.has_run(request.id))
      continue;
    ++lost;
    record.Write("LOST: " + request.id + " was sent " +
                 std::to_string(request.sent_at_ms - signalled_at_ms) +
                 " ms after the SIGHUP and cut after " +
                 std::to_string(request.ended_at_ms - request.sent_at_ms) +
                 " ms with " + std::to_string(request.received_bytes) +
                 " bytes of its answer");
  }
  record.Write("sent " + std::to_string(kReads) + ", cut " +
               std::to_string(cut) + ", lost " + std::to_string(lost));
  deployment.Finish(lost > 0 ? 1 : 0);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 4) {
    std::fprintf(stderr, "usage: hup_answer FOLDER RECORD COMMAND...\n");
    return 2;
  }
  std::string command;
  for (int index = 3; index < argc; ++index)
    command += (index > 3 ? " " : "") + std::string(argv[index]);
  Run(argv[1], argv[2], command);
}
