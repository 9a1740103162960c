#include "database_server.h"

#include <chrono>
#include <cstdio>
#include <memory>
#include <sstream>
#include <thread>
#include <utility>

namespace review {

namespace {

constexpr const char* kPosition = "1.1000";
// The work of one read.
constexpr std::chrono::milliseconds kWorkTime(9);
// What `max_conns` allows.
constexpr int kMaximumConnections = 16;

std::string RowsOf(const std::string& item) {
  unsigned rows = 0;
  unsigned bytes = 0;
  if (std::sscanf(item.c_str(), "rows-%u-%u", &rows, &bytes) != 2)
    return "DATAROW short\r\n";
  std::string text;
  for (unsigned row = 0; row < rows; ++row)
    text += "DATAROW " + std::string(bytes, 'x') + "\r\n";
  return text;
}

}  // namespace

DatabaseServer::DatabaseServer(Record& record,
                               std::string service,
                               std::string id,
                               Role role)
    : record(record),
      service(std::move(service)),
      own_id(std::move(id)),
      role(role),
      listener(Socket::Listen("127.0.0.1", 0)),
      own_address("127.0.0.1:" + std::to_string(this->listener.port())) {
  std::thread([this] {
    for (;;) {
      auto connection = std::make_shared<Socket>(this->listener.Accept());
      if (!connection->is_valid())
        return;
      std::thread([this, connection] {
        ++this->connection_count;
        this->Serve(*connection);
        --this->connection_count;
      }).detach();
    }
  }).detach();
}

bool DatabaseServer::has_run(const std::string& request_id) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->run_ids.contains(request_id);
}

void DatabaseServer::Serve(const Socket& connection) {
  std::string buffer;
  const auto startup = connection.ReadLine(buffer);
  if (!startup)
    return;
  std::istringstream fields(*startup);
  std::string word;
  std::string wanted_service;
  std::string user;
  std::string wanted_id;
  fields >> word >> wanted_service >> user >> wanted_id;
  if (word != "STARTUP" || wanted_service != this->service ||
      (!wanted_id.empty() && wanted_id != this->own_id)) {
    connection.Send("ERROR MISROUTED " + this->own_id + "\r\n");
    return;
  }
  if (this->connection_count > kMaximumConnections) {
    connection.Send("ERROR CONNLIMIT -\r\n");
    return;
  }
  connection.Send(std::string("READY I ") + kPosition + "\r\n");
  char state = 'I';
  while (const auto line = connection.ReadLine(buffer)) {
    const size_t id_end = line->find(' ', 6);
    if (!line->starts_with("QUERY ") || id_end == std::string::npos)
      return;
    const std::string answer =
        this->Run(line->substr(6, id_end - 6), line->substr(id_end + 1), state);
    if (!connection.Send(answer + "READY " + state + " " + kPosition + "\r\n"))
      return;
  }
}

std::string DatabaseServer::Run(const std::string& request_id,
                                std::string text,
                                char& state) {
  if (text.starts_with("AFTER "))
    text.erase(0, text.find(' ', 6) + 1);
  std::istringstream words(text);
  std::string verb;
  std::string item;
  words >> verb >> item;
  if (verb == "STATUS")
    return std::string("DATAROW ") +
           (this->is_primary() ? "primary" : "replica") + " 1 " + kPosition +
           " 1 0 0 1\r\nCOMPLETE -\r\n";
  if (verb == "BEGIN")
    state = 'T';
  if (verb == "ROLLBACK")
    state = 'I';
  if (verb != "READ")
    return "COMPLETE -\r\n";
  std::this_thread::sleep_for(kWorkTime);
  this->record.Write("server " + this->own_id + " ran " + request_id + ": " +
                     text);
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->run_ids.insert(request_id);
  return RowsOf(item) + "COMPLETE " + this->own_id + "." +
         std::to_string(++this->run_count) + "\r\n";
}

}  // namespace review
