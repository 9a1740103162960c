#ifndef REVIEW_STANDINS_3_DATABASE_SERVER_H_
#define REVIEW_STANDINS_3_DATABASE_SERVER_H_

#include <atomic>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>

#include "record.h"
#include "socket.h"

namespace review {

// A stand-in for one server of a service. Its log does not grow: the cases only
// read. The item "rows-R-B" is read as R rows of B bytes each, and any other
// item as one short row.
class DatabaseServer {
 public:
  enum class Role { kPrimary, kReplica };

  DatabaseServer(Record& record,
                 std::string service,
                 std::string id,
                 Role role);
  const std::string& address() const { return this->own_address; }
  const std::string& id() const { return this->own_id; }
  bool is_primary() const { return this->role == Role::kPrimary; }
  // Whether a statement with this id has run here.
  bool has_run(const std::string& request_id);

 private:
  void Serve(const Socket& connection);
  // Returns the whole answer to a query.
  std::string Run(const std::string& request_id, std::string text, char& state);

  Record& record;
  std::string service;
  std::string own_id;
  Role role;
  Socket listener;
  std::string own_address;
  std::atomic<uint64_t> run_count = 0;
  std::atomic<int> connection_count = 0;
  std::mutex mutex;
  std::set<std::string> run_ids;
};

}  // namespace review

#endif  // REVIEW_STANDINS_3_DATABASE_SERVER_H_
