// Tests of what an owner and its home tell each other while the link between
// them is down.

#include <string>
#include <utility>

#include <doctest/doctest.h>

#include "fakes/run_nodes.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

const std::string kJob = "00000000000000aa";

// The home north-1 and another instance, which owns the tests' jobs.
struct home_and_owner : run_nodes {
  explicit home_and_owner(duration run_time) {
    estimate = run_time;
    fake_upstream& upstream = fleet.Add("u1", "north");
    upstream.plan = [run_time](const task_name&) {
      return std::pair<duration, run_end>(run_time, run_end::kDone);
    };
    Add("north", 1, 2);
    Add("north", 2);
    Run(milliseconds(1500));
    REQUIRE(Home().cluster->home().serving());
  }

  run_node& Home() { return *Find("north-1"); }
  run_node& Owner() { return *Find("north-2"); }
  fake_upstream& Upstream() {
    fake_upstream& upstream = *fleet.upstreams.at(upstream_id("u1"));
    upstream.Settle();
    return upstream;
  }
  int Starts() {
    int starts = 0;
    for (const auto& [task, count] : Upstream().starts)
      starts += count;
    return starts;
  }
};

}  // namespace

// Guards against running tasks again that are done: the home reported their
// ends into a broken link and forgot them.
TEST_CASE("tasks end while the link to the job's owner is down") {
  home_and_owner d(milliseconds(200));
  SUBCASE("all at once") {}
  SUBCASE("one before the others") {
    d.Upstream().plan = [](const task_name& task) {
      bool is_long = task.position.index > 0;
      return std::pair<duration, run_end>(milliseconds(is_long ? 400 : 200),
                                          run_end::kDone);
    };
  }
  d.Submit(d.Owner(), kJob, 3, milliseconds(3000));
  d.Run(milliseconds(100));
  REQUIRE(d.Starts() == 3);
  d.Cut(d.Home(), d.Owner());
  d.Run(milliseconds(200));
  REQUIRE(d.Upstream().running.size() < 3);
  d.Heal(d.Home(), d.Owner());
  d.Run(milliseconds(500));
  CHECK(d.Starts() == 3);
  REQUIRE(d.answers[kJob].size() == 1);
  CHECK(d.answers[kJob][0].outcome == run_outcome::kSucceeded);
}

}  // namespace jasminedyke
