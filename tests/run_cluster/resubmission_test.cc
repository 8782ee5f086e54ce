// Tests of jobs that callers submit again while an instance still has an
// earlier submission of them.

#include <string>
#include <utility>

#include <doctest/doctest.h>

#include "fakes/run_nodes.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

const std::string kJob = "00000000000000aa";
constexpr duration kLimit = std::chrono::seconds(10);

// Two failure domains, each with an upstream for two tasks that take a second,
// a home ("-1") and two more instances.
struct two_domains : run_nodes {
  two_domains() {
    estimate = milliseconds(1000);
    for (const char* domain : {"north", "south"}) {
      fake_upstream& upstream = fleet.Add(domain, domain);
      upstream.capacity = {20'000, 65'536, 0};
      fleet.registry.at(upstream_id(domain)).capacity = upstream.capacity;
      upstream.plan = [](const task_name&) {
        return std::pair<duration, run_end>(milliseconds(1000), run_end::kDone);
      };
    }
    for (const char* domain : {"north", "south"}) {
      Add(domain, 1, 2);
      Add(domain, 2);
      Add(domain, 3);
    }
    Run(milliseconds(1500));
    REQUIRE(At("north-1").cluster->home().serving());
    REQUIRE(At("south-1").cluster->home().serving());
  }

  run_node& At(const std::string& name) {
    run_node* node = Find(name);
    REQUIRE(node);
    return *node;
  }

  size_t RunsIn(const std::string& domain) {
    fake_upstream& upstream = *fleet.upstreams.at(upstream_id(domain));
    upstream.Settle();
    return upstream.running.size();
  }
};

}  // namespace

// Guards against a second run in another failure domain: the instance forgot
// the home that still runs the first submission.
TEST_CASE("a job comes again through its owner while its first run lives") {
  two_domains d;
  run_node& owner = d.At("north-2");
  d.Submit(owner, kJob, 1, kLimit);
  d.Run(milliseconds(100));
  REQUIRE(d.RunsIn("north") == 1);
  // The run takes so much of its failure domain that the other one has more
  // room.
  d.Submit(owner, kJob, 1, kLimit);
  d.Run(milliseconds(2500));
  CHECK(!d.ran_twice);
  REQUIRE(d.answers[kJob].size() == 2);
  CHECK(d.answers[kJob][1].outcome == run_outcome::kSucceeded);
}

}  // namespace jasminedyke
