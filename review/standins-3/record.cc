#include "record.h"

#include <chrono>

namespace review {

namespace {

int64_t SteadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Record::Record(const std::string& path)
    : started_at_ms(SteadyMs()), file(path) {}

int64_t Record::NowMs() const {
  return SteadyMs() - this->started_at_ms;
}

void Record::Write(const std::string& text) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->file << this->NowMs() << " ms  " << text << "\n" << std::flush;
}

}  // namespace review
