#ifndef REVIEW_STANDINS_3_READER_H_
#define REVIEW_STANDINS_3_READER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "record.h"

namespace review {

// A client that reads one item in a session of its own. It reads its answer as
// fast as it arrives.
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
  // Sends the request and waits for its answer or the end of the connection.
  // Returns nothing if there was no session.
  std::optional<Request> Run(const std::string& address);

 private:
  Record& record;
  std::string name;
  std::string item;
};

}  // namespace review

#endif  // REVIEW_STANDINS_3_READER_H_
