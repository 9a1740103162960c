#include "LibDirectory/target_directory.h"

#include <doctest/doctest.h>

#include <vector>

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TargetEntry Entry(const char* name) {
  TargetEntry entry;
  entry.name = TargetName{name};
  entry.group = GroupName{"orders"};
  entry.address = "10.0.0.1:1";
  return entry;
}

}  // namespace

TEST_CASE("a directory of the targets in the store") {
  TargetDirectory directory;
  const std::vector<TargetEntry> both = {Entry("a"), Entry("b")};
  const std::vector<TargetEntry> one = {Entry("a")};
  directory.DidRead(both, seconds(10));
  CHECK(directory.targets().size() == 2);

  SUBCASE("removes a target that is missing while the store is available") {
    directory.DidRead(one, seconds(11));
    CHECK(directory.targets().size() == 1);
  }

  SUBCASE("keeps a target that is missing while the store is unavailable") {
    directory.DidRead(one, std::nullopt);
    CHECK(directory.targets().size() == 2);

    SUBCASE("and just after the outage, while expired entries return") {
      directory.DidRead(one, milliseconds(2000));
      CHECK(directory.targets().size() == 2);
    }

    SUBCASE("but not 2.5 seconds after the outage") {
      directory.DidRead(one, milliseconds(2500));
      CHECK(directory.targets().size() == 1);
    }
  }

  SUBCASE("updates the start time of a target that restarted") {
    TargetEntry restarted = Entry("a");
    restarted.started_at_ms = 7;
    directory.DidRead(std::vector<TargetEntry>{restarted, Entry("b")},
                      seconds(12));
    CHECK(directory.targets().at(TargetName{"a"}).started_at_ms == 7);
  }
}

}  // namespace kingcupmill
