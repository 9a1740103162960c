#include "reader.h"

#include <utility>

#include "deployment.h"
#include "socket.h"

namespace review {

Reader::Reader(Record& record, std::string name, std::string item)
    : record(record), name(std::move(name)), item(std::move(item)) {}

std::optional<Reader::Request> Reader::Run(const std::string& address) {
  const Socket connection = Socket::Connect(address);
  std::string buffer;
  connection.Send(std::string("STARTUP ") + Deployment::kDatabase + " " +
                  this->name + "\r\n");
  const auto greeting = connection.ReadLine(buffer);
  if (!greeting || !greeting->starts_with("READY")) {
    this->record.Write(this->name + " has no session");
    return std::nullopt;
  }
  Request request;
  request.id = this->name + "-read";
  request.sent_at_ms = this->record.NowMs();
  connection.Send("QUERY " + request.id + " READ " + this->item + "\r\n");
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
  request.is_success = request.is_complete && result.starts_with("COMPLETE");
  this->record.Write(this->name +
                     (request.is_complete ? " has the answer to "
                                          : " lost its connection after ") +
                     request.id + ", " +
                     std::to_string(request.received_bytes) + " bytes, last " +
                     result);
  return request;
}

}  // namespace review
