#ifndef REVIEW_STANDINS_3_READER_H_
#define REVIEW_STANDINS_3_READER_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

#include "record.h"

namespace review {

// A client that reads one item again and again in one session, with a pause,
// until the session ends. It reads its answers as fast as they arrive.
class Reader {
 public:
  struct Request {
    std::string id;
    int64_t sent_at_ms = 0;
    // When the answer was complete, or the connection ended without one.
    int64_t ended_at_ms = 0;
    size_t received_bytes = 0;
    bool is_complete = false;
    // The answer was a success.
    bool is_success = false;
  };

  Reader(Record& record, std::string name, std::string item);
  // Returns when the session has ended or Stop() was called.
  void Run(const std::string& address);
  // Sends one request and waits for its answer or the end of the connection.
  void RunOnce(const std::string& address);
  void Stop() { this->is_stopped = true; }
  const std::vector<Request>& requests() const { return this->sent; }

 private:
  Record& record;
  std::string name;
  std::string item;
  std::atomic<bool> is_stopped = false;
  std::vector<Request> sent;
};

}  // namespace review

#endif  // REVIEW_STANDINS_3_READER_H_
