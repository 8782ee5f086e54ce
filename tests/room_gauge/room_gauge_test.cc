// Free cores that no task can use are no room.

#include <doctest/doctest.h>

#include "runs/runs.h"

namespace jasminedyke {

TEST_CASE("room_gauge: all is of use until a task has started") {
  room_gauge gauge;
  CHECK(gauge.Usable(15'000) == 15'000);
}

TEST_CASE("room_gauge: only what usual tasks can fill") {
  room_gauge gauge;
  gauge.Note(16'000);
  CHECK(gauge.Usable(15'000) == 0);
  CHECK(gauge.Usable(20'000) == 16'000);
  CHECK(gauge.Usable(32'000) == 32'000);
}

TEST_CASE("room_gauge: one large task hardly counts, many do") {
  room_gauge gauge;
  gauge.Note(4'000);
  gauge.Note(30'000);
  CHECK(gauge.Usable(5'000) > 4'000);
  for (int i = 0; i < 300; ++i)
    gauge.Note(30'000);
  CHECK(gauge.Usable(5'000) == 0);
}

}  // namespace jasminedyke
