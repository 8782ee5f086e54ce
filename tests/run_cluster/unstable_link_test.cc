// Tests of a link between an owner and its home that comes up and breaks again
// before anything has passed it.

#include <string>
#include <utility>

#include <doctest/doctest.h>

#include "fakes/run_nodes.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

const std::string kJob = "00000000000000aa";

}  // namespace

// Guards against runs that outlive the time after which a caller comes again
// through another failure domain: each link that came up and broke began the
// owner's grace period anew.
TEST_CASE("a link that breaks as it comes up does not prolong runs") {
  run_nodes d;
  d.estimate = milliseconds(5000);
  fake_upstream& upstream = d.fleet.Add("u1", "north");
  upstream.plan = [](const task_name&) {
    return std::pair<duration, run_end>(milliseconds(5000), run_end::kDone);
  };
  run_node& home = d.Add("north", 1, 2);
  run_node& owner = d.Add("north", 2);
  d.Run(milliseconds(1500));
  REQUIRE(home.cluster->home().serving());
  submission_id submission = d.Submit(owner, kJob, 1, std::chrono::seconds(10));
  d.Run(milliseconds(100));
  REQUIRE(upstream.running.size() == 1);
  d.Cut(owner, home);
  owner.cluster->owner().OnCallerLeft(job_key(kJob), submission);
  // The link comes up while the home still keeps the job.
  d.Run(milliseconds(150));
  REQUIRE(upstream.running.size() == 1);
  d.Heal(owner, home);
  d.Cut(owner, home);
  d.Run(milliseconds(150));
  upstream.Settle();
  CHECK(upstream.running.empty());
}

}  // namespace jasminedyke
