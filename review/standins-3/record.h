#ifndef REVIEW_STANDINS_3_RECORD_H_
#define REVIEW_STANDINS_3_RECORD_H_

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

// The record of what was sent, answered and run, with the milliseconds since
// the start. Used by many threads.
class Record {
 public:
  explicit Record(const std::string& path);

  int64_t NowMs() const;
  void Write(const std::string& text);

 private:
  int64_t started_at_ms = 0;
  std::mutex mutex;
  std::ofstream file;
};

}  // namespace review

#endif  // REVIEW_STANDINS_3_RECORD_H_
