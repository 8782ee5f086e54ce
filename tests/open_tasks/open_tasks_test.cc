// The bound on the tasks of all open jobs.

#include <doctest/doctest.h>

#include "open_tasks.h"

namespace jasminedyke {
namespace {

time_point At(int seconds) {
  return time_point(std::chrono::seconds(seconds));
}

// Guards against jobs that count for ever, and against callers who are told to
// come back before there is room.
TEST_CASE("open_tasks: there is room once enough jobs have ended") {
  open_tasks all;
  CHECK(all.HasRoomFor(1'000'000));
  all.SetMost(10);
  open_tasks::claim late = all.Claim(4, At(9));
  open_tasks::claim early = all.Claim(5, At(3));
  CHECK(all.HasRoomFor(1));
  CHECK(!all.HasRoomFor(2));
  CHECK(all.RoomFor(2) == At(3));
  CHECK(all.RoomFor(7) == At(9));
  open_tasks::claim copy = early;
  early.reset();
  CHECK(all.count() == 9);
  copy.reset();
  CHECK(all.count() == 4);
  CHECK(all.HasRoomFor(6));
}

// Guards against a job that outlives the instance's interface for callers.
TEST_CASE("open_tasks: a claim may be the last to go") {
  open_tasks::claim claim;
  {
    open_tasks all;
    claim = all.Claim(3, At(1));
    CHECK(all.count() == 3);
  }
  claim.reset();
  CHECK(!claim);
}

}  // namespace
}  // namespace jasminedyke
