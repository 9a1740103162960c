#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>
#include <spdlog/spdlog.h>

#include <cstdlib>

int main(int argc, char** argv) {
  // The log of a single test case, to trace a failure.
  const bool shows_log = std::getenv("KINGCUPMILL_TEST_LOG") != nullptr;
  spdlog::set_level(shows_log ? spdlog::level::info : spdlog::level::critical);
  return doctest::Context(argc, argv).run();
}
