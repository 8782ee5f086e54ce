// Tests of an instance that still has an earlier submission of a job when its
// link to the home is back, after the caller came again elsewhere.

#include <string>
#include <utility>

#include <doctest/doctest.h>

#include "fakes/run_nodes.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

const std::string kJob = "00000000000000aa";
constexpr duration kLimit = std::chrono::seconds(10);

// A failure domain with the home north-1 and two more instances, and another
// one with a single instance. A task takes four seconds.
struct older_submission : run_nodes {
  older_submission() {
    estimate = milliseconds(4000);
    for (const char* domain : {"north", "south"}) {
      fake_upstream& upstream = fleet.Add(domain, domain);
      upstream.plan = [](const task_name&) {
        return std::pair<duration, run_end>(milliseconds(4000), run_end::kDone);
      };
    }
    Add("north", 1, 2);
    Add("north", 2);
    Add("north", 3);
    Add("south", 1);
    Run(milliseconds(1500));
    REQUIRE(At("north-1").cluster->home().serving());
    // The first owner does not notice that its caller is gone. Its link to the
    // home is down while the caller comes again through another instance.
    Submit(At("north-2"), kJob, 1, kLimit);
    Run(milliseconds(1200));
    Cut(At("north-2"), At("north-1"));
    Run(milliseconds(100));
    Submit(At("north-3"), kJob, 1, kLimit);
    Run(milliseconds(100));
    REQUIRE(answers[kJob].empty());
    Heal(At("north-2"), At("north-1"));
    Run(milliseconds(200));
  }

  run_node& At(const std::string& name) {
    run_node* node = Find(name);
    REQUIRE(node);
    return *node;
  }
};

}  // namespace

// Guards against giving up the submission whose caller waits for the one whose
// caller is gone: the message that the latter is superseded was lost.
TEST_CASE("an older submission does not supersede a newer one") {
  older_submission d;
  CHECK(d.At("north-3").cluster->owner().open_jobs() == 1);
  CHECK(d.At("north-2").cluster->owner().open_jobs() == 0);
  d.Run(milliseconds(5000));
  REQUIRE(d.answers[kJob].size() == 2);
  CHECK(d.answers[kJob][0].outcome == run_outcome::kUnknown);
  CHECK(d.answers[kJob][1].outcome == run_outcome::kSucceeded);
}

// Guards against a second run in another failure domain: the caller was told to
// come again although the home kept the run for the older submission.
TEST_CASE("a caller that a superseded job turned away comes again") {
  older_submission d;
  d.Run(milliseconds(1300));
  bool turned_away = d.At("north-3").cluster->owner().open_jobs() == 0;
  if (turned_away)
    d.Submit(d.At("south-1"), kJob, 1, kLimit);
  d.Run(milliseconds(4000));
  CHECK(!d.ran_twice);
}

}  // namespace jasminedyke
