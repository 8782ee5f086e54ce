// Tests of complete instances in several failure domains: a caller that lost
// its connection sends its job again, and the second submission runs in another
// failure domain than the first.

#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/run_nodes.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kJob = "00000000000000aa";
// The job's tasks take so much of a domain's room that a second submission of
// the job is better placed in the other domain.
constexpr uint32_t kTasks = 4;
constexpr duration kRunTime = seconds(4);
constexpr duration kCallerLimit = seconds(20);
// Callers send a job again this long after they lost its connection.
constexpr duration kReturnAfter = milliseconds(1300);

// Two failure domains of two instances and two upstreams each.
struct two_domains : run_nodes {
  two_domains() {
    estimate = kRunTime;
    for (const char* domain : {"north", "south"}) {
      for (int i = 1; i <= 2; ++i) {
        std::string id = std::string(domain) + "-u" + std::to_string(i);
        fleet.Add(id, domain).plan = [](const task_name&) {
          return std::pair<duration, run_end>(kRunTime, run_end::kDone);
        };
      }
    }
    for (const char* domain : {"north", "south"}) {
      for (int i = 1; i <= 2; ++i)
        Add(domain, i);
    }
    Run(milliseconds(1500));
  }

  run_node& HomeOf(const std::string& domain) {
    for (run_node* node : Live()) {
      if (node->self.domain.str() == domain && node->cluster->home().serving())
        return *node;
    }
    throw std::runtime_error("the failure domain has no home");
  }

  // An instance of the domain that is not its home.
  run_node& OtherOf(const std::string& domain) {
    for (run_node* node : Live()) {
      if (node->self.domain.str() == domain && !node->cluster->home().serving())
        return *node;
    }
    throw std::runtime_error("the failure domain has no other instance");
  }

  size_t RunsIn(const std::string& domain) {
    size_t runs = 0;
    for (auto& [id, upstream] : fleet.upstreams) {
      upstream->Settle();
      if (fleet.registry.at(id).failure_domain.str() == domain)
        runs += upstream->running.size();
    }
    return runs;
  }

  // Submits the job through an instance of north; it runs in north.
  submission_id SubmitFirst(run_node& owner, duration limit = kCallerLimit) {
    submission_id submission = Submit(owner, kJob, kTasks, limit);
    Run(milliseconds(100));
    REQUIRE(RunsIn("north") == kTasks);
    return submission;
  }

  // The caller, which lost its connection at `lost_at`, sends the job again
  // through an instance of south.
  void ReturnInSouth(time_point lost_at) {
    Run(lost_at + kReturnAfter - clock.now());
    CHECK(RunsIn("north") == 0);
    Submit(OtherOf("south"), kJob, kTasks, kCallerLimit);
    Run(milliseconds(300));
    CHECK(RunsIn("south") == kTasks);
    Run(kRunTime);
    CHECK(!ran_twice);
  }
};

}  // namespace

// Guards against runs that outlive the process of their job's owner.
TEST_CASE("two domains: a job's owner is killed and is back soon") {
  two_domains d;
  run_node* owner = &d.OtherOf("north");
  duration away = duration::zero();
  SUBCASE("at once") {}
  SUBCASE("at once and is the home too") {
    owner = &d.HomeOf("north");
  }
  SUBCASE("after 100 ms") {
    away = milliseconds(100);
  }
  SUBCASE("after 300 ms") {
    away = milliseconds(300);
  }
  SUBCASE("after the home has stopped the runs") {
    away = milliseconds(500);
  }
  d.SubmitFirst(*owner);
  time_point lost_at = d.clock.now();
  d.Kill(*owner);
  d.Run(away);
  d.Restart(*owner);
  d.ReturnInSouth(lost_at);
}

// Guards against runs whose leases outlive a home that was about to stop them.
TEST_CASE("two domains: a job's owner is killed and then its home") {
  for (int i = 0; i < 100; ++i) {
    // The home dies shortly before and after it stops the runs, each time at
    // another age of their leases.
    duration ran = milliseconds(30 * (i % 10));
    duration between = milliseconds(300 + 10 * (i / 10));
    CAPTURE(ran.count());
    CAPTURE(between.count());
    two_domains d;
    run_node& home = d.HomeOf("north");
    run_node& owner = d.OtherOf("north");
    d.SubmitFirst(owner);
    d.Run(ran);
    time_point lost_at = d.clock.now();
    d.Kill(owner);
    d.Run(between);
    d.Kill(home);
    d.ReturnInSouth(lost_at);
  }
}

// Guards against cancellations that never reach the home, as the link is down.
TEST_CASE("two domains: a job ends while the link to its home is down") {
  two_domains d;
  run_node& home = d.HomeOf("north");
  run_node& owner = d.OtherOf("north");
  constexpr duration kShortLimit = milliseconds(900);
  constexpr duration kLinkDown = milliseconds(100);
  time_point submitted_at = d.clock.now();
  time_point lost_at;
  submission_id submission;
  SUBCASE("as the caller leaves") {
    submission = d.SubmitFirst(owner);
    d.Cut(owner, home);
    d.Run(kLinkDown / 2);
    owner.cluster->owner().OnCallerLeft(job_key(kJob), submission);
    lost_at = d.clock.now();
  }
  SUBCASE("as the caller leaves and the cancellation is lost on the way") {
    submission = d.SubmitFirst(owner);
    owner.cluster->owner().OnCallerLeft(job_key(kJob), submission);
    d.Cut(owner, home);
    lost_at = d.clock.now();
  }
  SUBCASE("as the job's limit passes") {
    d.SubmitFirst(owner, kShortLimit);
    d.Run(submitted_at + kShortLimit - d.clock.now() - milliseconds(20));
    d.Cut(owner, home);
    d.Run(milliseconds(80));
    REQUIRE(d.answers[kJob].size() == 1);
    lost_at = submitted_at + kShortLimit;
  }
  SUBCASE("as the owner gives all jobs up") {
    d.SubmitFirst(owner);
    d.Cut(owner, home);
    d.Run(kLinkDown / 2);
    owner.cluster->owner().GiveUpAll();
    REQUIRE(d.answers[kJob].size() == 1);
    lost_at = d.clock.now();
  }
  d.Run(kLinkDown / 2);
  REQUIRE(owner.cluster->owner().open_jobs() == 0);
  d.Heal(owner, home);
  d.ReturnInSouth(lost_at);
}

// Guards against an owner that has a job run in two failure domains at once.
TEST_CASE("two domains: a job comes again to the owner that still has it") {
  two_domains d;
  run_node& home = d.HomeOf("north");
  run_node& owner = d.OtherOf("north");
  d.SubmitFirst(owner);
  SUBCASE("with the link to its home up") {
    d.Run(kReturnAfter);
  }
  SUBCASE("with the link to its home just broken") {
    d.Run(kReturnAfter);
    d.Cut(owner, home);
  }
  SUBCASE("with the link to its home down for a while") {
    d.Run(kReturnAfter - milliseconds(200));
    d.Cut(owner, home);
    d.Run(milliseconds(200));
  }
  d.Submit(owner, kJob, kTasks, kCallerLimit);
  d.Run(milliseconds(50));
  d.Heal(owner, home);
  d.Run(2 * kRunTime);
  CHECK(!d.ran_twice);
  REQUIRE(d.answers[kJob].size() == 2);
  CHECK(d.answers[kJob][0].outcome == run_outcome::kUnknown);
}

// Guards against runs for a request whose sender has closed the link since.
TEST_CASE("two domains: a home reads a request after its owner gave it up") {
  two_domains d;
  run_node& home = d.HomeOf("north");
  run_node& owner = d.OtherOf("north");
  home.peers.Freeze();
  submission_id submission = d.Submit(owner, kJob, kTasks, kCallerLimit);
  d.Run(seconds(1));
  time_point lost_at;
  SUBCASE("and the caller left before the link was closed") {
    owner.cluster->owner().OnCallerLeft(job_key(kJob), submission);
    lost_at = d.clock.now();
    d.Run(milliseconds(5));
    d.Cut(owner, home);
  }
  SUBCASE("and the caller left after the link was closed") {
    d.Cut(owner, home);
    d.Run(milliseconds(50));
    owner.cluster->owner().OnCallerLeft(job_key(kJob), submission);
    lost_at = d.clock.now();
  }
  d.Run(milliseconds(200));
  REQUIRE(d.RunsIn("north") == 0);
  home.peers.Thaw();
  d.Run(milliseconds(30));
  d.Heal(owner, home);
  d.ReturnInSouth(lost_at);
}

}  // namespace jasminedyke
