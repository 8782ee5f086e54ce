// Random losses of instances of one failure domain while the store is silent.

#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/random_faults.h"
#include "fakes/run_nodes.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

constexpr int kInstances = 5;
// Two instances that know the group are always left.
constexpr int kMaxLost = 3;
constexpr duration kRunTime = milliseconds(200);
// Longer than an instance that lost its home waits for the store.
constexpr duration kQuiet = milliseconds(2500);

class dark_domain : public run_nodes {
 public:
  dark_domain() {
    estimate = kRunTime;
    for (int i = 0; i < 4; ++i) {
      fleet.Add("u" + std::to_string(i), "north").plan = [](const task_name&) {
        return std::pair(kRunTime, run_end::kDone);
      };
    }
    for (int number = 1; number <= kInstances; ++number)
      Start(number);
    Run(milliseconds(1500));
    store.outage = true;
    store.delay = std::chrono::seconds(1);
  }

  // The lower its number, the stronger an instance is.
  void Start(int number) { Add("north", number, 2.0 - 0.2 * number); }
  run_node* Instance(int number) {
    return Find("north-" + std::to_string(number));
  }
  // A caller whose owner was lost sends the job again through another one.
  void SubmitAgain(random_faults& faults) {
    for (int job = jobs_ - 20; job < jobs_ - 14; ++job) {
      std::string key = "job" + std::to_string(job);
      if (job >= 0 && answers[key].empty() && faults.Chance(0.3))
        Submit(*Live()[faults.Pick(Live().size())], key, 2);
    }
  }
  void SubmitNext(random_faults& faults) {
    Submit(*Live()[faults.Pick(Live().size())], "job" + std::to_string(jobs_++),
           2);
  }

 private:
  int jobs_ = 0;
};

}  // namespace

// Guards against a domain without a home until the store is back, and against
// homes that take each other's runs for lost.
TEST_CASE("home_election: random losses while the store is silent") {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    dark_domain d;
    random_faults faults(d, seed);
    for (int step = 0; step < 60; ++step) {
      int number = 1 + static_cast<int>(faults.Pick(kInstances));
      size_t lost = kInstances - d.Live().size();
      if (!d.Instance(number) && faults.Chance(0.3))
        d.Start(number);
      else if (d.Instance(number) && lost < kMaxLost && faults.Chance(0.1))
        d.Kill(*d.Instance(number), faults.Chance(0.5));
      d.SubmitNext(faults);
      d.SubmitAgain(faults);
      d.Run(faults.Between(milliseconds(50), milliseconds(150)));
      REQUIRE(!d.ran_twice);
    }
    for (int number = 1; number <= kInstances; ++number) {
      if (!d.Instance(number))
        d.Start(number);
    }
    d.Run(kQuiet);
    d.Submit(*d.Live().back(), "last", 2);
    d.Run(milliseconds(500));
    REQUIRE(d.answers["last"].size() == 1);
    CHECK(d.answers["last"][0].outcome == run_outcome::kSucceeded);
    CHECK(!d.ran_twice);
    CHECK(faults.FalselyRefused().empty());
  }
}

}  // namespace jasminedyke
