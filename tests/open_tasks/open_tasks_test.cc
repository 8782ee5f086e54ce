// The bound on the tasks of all open jobs.

#include <doctest/doctest.h>

#include "open_tasks.h"

namespace jasminedyke {
namespace {

const job_key kOne("one");
const job_key kOther("other");
const job_key kNew("new");

time_point At(int seconds) {
  return time_point(std::chrono::seconds(seconds));
}

// Guards against jobs that count for ever, and against callers who are told to
// come back before there is room.
TEST_CASE("open_tasks: there is room once enough jobs have ended") {
  open_tasks all;
  CHECK(all.HasRoomFor(kNew, 1'000'000));
  all.SetMost(10);
  open_tasks::claim late = all.Claim(kOne, 4, At(9));
  open_tasks::claim early = all.Claim(kOther, 5, At(3));
  CHECK(all.HasRoomFor(kNew, 1));
  CHECK(!all.HasRoomFor(kNew, 2));
  CHECK(all.RoomFor(2) == At(3));
  CHECK(all.RoomFor(7) == At(9));
  open_tasks::claim copy = early;
  early.reset();
  CHECK(all.count() == 9);
  copy.reset();
  CHECK(all.count() == 4);
  CHECK(all.HasRoomFor(kNew, 6));
}

// Guards against a caller whose job is refused for the sake of its own earlier
// submission, which then runs for nobody.
TEST_CASE("open_tasks: a job that is submitted again replaces itself") {
  open_tasks all;
  all.SetMost(10);
  open_tasks::claim first = all.Claim(kOne, 8, At(9));
  CHECK(!all.HasRoomFor(kNew, 8));
  CHECK(all.HasRoomFor(kOne, 8));
  open_tasks::claim second = all.Claim(kOne, 8, At(9));
  first.reset();
  CHECK(all.count() == 8);
  CHECK(all.HasRoomFor(kOne, 10));
  CHECK(!all.HasRoomFor(kOne, 11));
  second.reset();
  CHECK(!all.HasRoomFor(kOne, 11));
  CHECK(all.HasRoomFor(kOne, 10));
}

// Guards against a job that outlives the instance's interface for callers.
TEST_CASE("open_tasks: a claim may be the last to go") {
  open_tasks::claim claim;
  {
    open_tasks all;
    claim = all.Claim(kOne, 3, At(1));
    CHECK(all.count() == 3);
  }
  claim.reset();
  CHECK(!claim);
}

}  // namespace
}  // namespace jasminedyke
