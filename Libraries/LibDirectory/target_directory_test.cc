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

TEST_CASE("the targets that the store shows") {
  TargetDirectory directory;
  const std::vector<TargetEntry> both = {Entry("a"), Entry("b")};
  const std::vector<TargetEntry> one = {Entry("a")};
  directory.DidRead(both, seconds(10));
  CHECK(directory.targets().size() == 2);

  SUBCASE("one that is missing while the store is steady is gone") {
    directory.DidRead(one, seconds(11));
    CHECK(directory.targets().size() == 1);
  }

  SUBCASE("one that is missing while the store is away stays") {
    directory.DidRead(one, std::nullopt);
    CHECK(directory.targets().size() == 2);

    SUBCASE("and just after its return, when entries that lapsed come back") {
      directory.DidRead(one, milliseconds(2000));
      CHECK(directory.targets().size() == 2);
    }

    SUBCASE("but not two seconds later") {
      directory.DidRead(one, milliseconds(2500));
      CHECK(directory.targets().size() == 1);
    }
  }

  SUBCASE("one that started again is told by its start") {
    TargetEntry reborn = Entry("a");
    reborn.started_at_ms = 7;
    directory.DidRead(std::vector<TargetEntry>{reborn, Entry("b")},
                      seconds(12));
    CHECK(directory.targets().at(TargetName{"a"}).started_at_ms == 7);
  }
}

}  // namespace kingcupmill
