// Tests of a home that gets a job of very many small tasks.

#include <doctest/doctest.h>

#include "fakes/home_fixture.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

constexpr uint32_t kTasks = 300;

task_demand SmallDemand() {
  task_demand demand;
  demand.need = {1, 0, 0};
  demand.estimate = milliseconds(50);
  return demand;
}

}  // namespace

// Guards against a start for each of thousands of tasks at once: each takes a
// connection, which used up the descriptors and the processor.
TEST_CASE("run_home: few starts on one upstream are unanswered at a time") {
  home_fixture f;
  f.fleet.Add("u1", "north");
  f.Begin();
  f.clock.Advance(milliseconds(3000));
  f.fleet.way = milliseconds(5);
  run_request request = f.Request(kTasks, SmallDemand());
  request.to_objective = request.to_limit = milliseconds(60'000);
  f.home.OnRequest(kOwner, request);
  f.clock.Advance(milliseconds(9));
  CHECK(f.StartsOn("u1") == 64);
  f.clock.Advance(milliseconds(10'000));
  CHECK(f.StartsOn("u1") == kTasks);
  CHECK(f.Count(task_verdict::kDone) == kTasks);
}

}  // namespace jasminedyke
