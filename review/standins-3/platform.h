#ifndef REVIEW_STANDINS_3_PLATFORM_H_
#define REVIEW_STANDINS_3_PLATFORM_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "socket.h"

namespace review {

// A stand-in for the platform's store and for its promotion call, which refuses
// every promotion because no server of these cases needs one. Each connection
// has a thread of its own.
class Platform {
 public:
  // Starts to serve; `address` is where.
  Platform();
  const std::string& address() const { return this->own_address; }
  // Writes a row as the operator or a server does.
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);

 private:
  struct Row {
    std::string value;
    uint64_t version = 0;
    bool is_removed = false;
  };
  struct Answer {
    int status = 200;
    nlohmann::json body = nlohmann::json::object();
  };
  using Query = std::map<std::string, std::string>;

  void Serve(const Socket& connection);
  Answer Handle(const std::string& path,
                const Query& query,
                const std::string& body);
  Answer Get(const Query& query);
  Answer Feed(const Query& query);
  Answer Transact(const std::string& body);
  nlohmann::json RowsAfter(const std::string& table,
                           uint64_t version,
                           bool with_removed) const;
  Answer MakeRows(nlohmann::json rows) const;

  Socket listener;
  std::string own_address;
  std::mutex mutex;
  std::condition_variable changed;
  uint64_t version = 0;
  std::map<std::pair<std::string, std::string>, Row> rows;
};

}  // namespace review

#endif  // REVIEW_STANDINS_3_PLATFORM_H_
