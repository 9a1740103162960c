#include "reader.h"

#include <chrono>
#include <optional>
#include <thread>
#include <utility>

#include "deployment.h"
#include "socket.h"

namespace review {

namespace {

constexpr std::chrono::milliseconds kPause(50);

}  // namespace

Reader::Reader(Record& record, std::string name, std::string item)
    : record(record), name(std::move(name)), item(std::move(item)) {}

void Reader::RunOnce(const std::string& address) {
  this->Stop();
  this->Run(address);
}

void Reader::Run(const std::string& address) {
  const Socket connection = Socket::Connect(address);
  std::string buffer;
  connection.Send(std::string("STARTUP ") + Deployment::kDatabase + " " +
                  this->name + "\r\n");
  const auto greeting = connection.ReadLine(buffer);
  if (!greeting || !greeting->starts_with("READY"))
    return this->record.Write(this->name + " has no session");
  do {
    Request request;
    request.id = this->name + "-" + std::to_string(this->sent.size() + 1);
    request.sent_at_ms = this->record.NowMs();
    if (!connection.Send("QUERY " + request.id + " READ " + this->item +
                         "\r\n"))
      return;
    this->record.Write(this->name + " sent " + request.id);
    std::string result = "nothing";
    while (const auto line = connection.ReadLine(buffer)) {
      request.received_bytes += line->size() + 2;
      request.is_complete = line->starts_with("READY");
      if (request.is_complete)
        break;
      result = line->substr(0, 40);
    }
    request.received_bytes += buffer.size();
    request.ended_at_ms = this->record.NowMs();
    this->record.Write(this->name +
                       (request.is_complete ? " has the answer to "
                                            : " lost its connection after ") +
                       request.id + ", " +
                       std::to_string(request.received_bytes) +
                       " bytes, last " + result);
    request.is_success = request.is_complete && result.starts_with("COMPLETE");
    this->sent.push_back(request);
    if (!request.is_complete)
      return;
    std::this_thread::sleep_for(kPause);
  } while (!this->is_stopped);
}

}  // namespace review
