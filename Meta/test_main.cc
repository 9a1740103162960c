#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>
#include <spdlog/spdlog.h>

int main(int argc, char** argv) {
  spdlog::set_level(spdlog::level::critical);
  return doctest::Context(argc, argv).run();
}
