// Tests a task that crashes each upstream that starts it, with complete
// instances.

#include <string>

#include <doctest/doctest.h>

#include "fakes/run_nodes.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kCrashingJob = "00000000000000cc";

// Two failure domains of two instances and eight upstreams each, in which the
// first task of `kCrashingJob` crashes every upstream.
struct crashing_job : run_nodes {
  crashing_job() {
    for (const char* domain : {"north", "south"}) {
      for (int i = 0; i < 8; ++i) {
        fake_upstream& upstream = fleet.Add(domain + std::to_string(i), domain);
        upstream.crashes = [](const task_name& task) {
          return task.job.str() == kCrashingJob && task.position.index == 0;
        };
        upstream.on_crash = [this, &upstream] { OnCrash(upstream); };
      }
    }
    for (const char* domain : {"north", "south"}) {
      Add(domain, 1, 2);
      Add(domain, 2);
    }
    Run(milliseconds(1500));
  }

  // The upstream is silent for eight seconds; then another incarnation answers
  // at its address.
  void OnCrash(fake_upstream& upstream) {
    ++crashes;
    clock.CallAfter(seconds(8), [&upstream] {
      upstream.down = false;
      upstream.gone = true;
    });
  }

  // Runs until `number` upstreams have crashed, for five seconds at most.
  void RunToCrash(int number) {
    for (int i = 0; i < 500 && crashes < number; ++i)
      Run(milliseconds(10));
    REQUIRE(crashes == number);
  }

  int crashes = 0;
};

}  // namespace

TEST_CASE("crashing task: no third upstream starts it") {
  // Two upstreams go silent while they run the task. Its job is given up at
  // once and refused until the losses expire. The caller is never told that the
  // job failed, because nothing proves that the task was the cause.
  crashing_job d;
  d.Submit(*d.Find("north-2"), kCrashingJob, 2, seconds(20));
  d.Run(seconds(5));
  CHECK(d.crashes == 2);
  REQUIRE(d.answers[kCrashingJob].size() == 1);
  CHECK(d.answers[kCrashingJob][0].outcome == run_outcome::kUnknown);
  CHECK(d.answers[kCrashingJob][0].reason == run_refusal::kUpstreamsLost);
  d.Submit(*d.Find("north-2"), kCrashingJob, 2, seconds(20));
  d.Run(milliseconds(100));
  REQUIRE(d.answers[kCrashingJob].size() == 2);
  CHECK(d.answers[kCrashingJob][1].outcome == run_outcome::kNotRun);
  d.Run(seconds(9));
  d.Submit(*d.Find("north-2"), kCrashingJob, 2, seconds(20));
  d.Run(milliseconds(100));
  REQUIRE(d.answers[kCrashingJob].size() == 3);
  CHECK(d.answers[kCrashingJob][2].outcome == run_outcome::kNotRun);
  CHECK(d.answers[kCrashingJob][2].reason == run_refusal::kUpstreamsLost);
  CHECK(d.answers[kCrashingJob][2].retry_after > seconds(30));
  CHECK(d.crashes == 2);
}

TEST_CASE("crashing task: the home fails after each crash") {
  // The home that saw a crash has told the other instances, so its successor
  // knows of it. A caller that submits the job again through another instance,
  // after both homes have failed, crashes no further upstream.
  crashing_job d;
  d.Submit(*d.Find("north-2"), kCrashingJob, 2, seconds(20));
  d.RunToCrash(1);
  d.Run(milliseconds(2500));
  d.Kill(*d.Find("north-1"));
  d.Run(seconds(6));
  CHECK(d.crashes == 2);
  d.Kill(*d.Find("north-2"));
  for (int i = 0; i < 3; ++i) {
    d.Submit(*d.Find("south-2"), kCrashingJob, 2, seconds(5));
    d.Run(seconds(6));
  }
  CHECK(d.crashes == 2);
  REQUIRE(!d.answers[kCrashingJob].empty());
  CHECK(d.answers[kCrashingJob].back().outcome == run_outcome::kNotRun);
  CHECK(d.answers[kCrashingJob].back().reason == run_refusal::kUpstreamsLost);
}

TEST_CASE("crashing task: an instance that joins later learns of the suspect") {
  crashing_job d;
  d.Submit(*d.Find("north-2"), kCrashingJob, 1, seconds(20));
  d.Run(seconds(8));
  REQUIRE(d.crashes == 2);
  run_node& late = d.Add("south", 3);
  d.Run(milliseconds(100));
  CHECK(late.cluster->home().CrashSuspects().suspects.size() == 1);
}

}  // namespace jasminedyke
