// Tests of upstreams that run on without a registration, as they have lost
// their way to the store only.

#include <stdexcept>
#include <string>
#include <utility>

#include <doctest/doctest.h>

#include "fakes/run_nodes.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kJob = "00000000000000aa";
constexpr uint32_t kTasks = 6;
constexpr duration kCallerLimit = seconds(20);
// An upstream that is missing for this long counts as gone.
constexpr duration kRetention = milliseconds(2600);

// A failure domain of three instances and four upstreams, whose list of
// upstreams is whole, and a job whose tasks run on two of them.
struct unregistered_fixture : run_nodes {
  explicit unregistered_fixture(duration run_time) {
    estimate = run_time;
    for (int i = 0; i < 4; ++i)
      fleet.Add("u" + std::to_string(i), "north").plan =
          [run_time](const task_name&) {
            return std::pair(run_time, run_end::kDone);
          };
    for (int i = 1; i <= 3; ++i)
      Add("north", i);
    Run(milliseconds(2600));
    ListAtAll(fleet.registry);
    Submit(Other(), kJob, kTasks, kCallerLimit);
    Run(milliseconds(100));
    REQUIRE(Starts(kJob) == kTasks);
  }

  void ListAtAll(const upstream_registry& listed) {
    for (run_node* node : Live())
      node->cluster->SetUpstreams(listed);
  }

  run_node& Home() {
    for (run_node* node : Live()) {
      if (node->cluster->home().serving())
        return *node;
    }
    throw std::runtime_error("the failure domain has no home");
  }

  // An instance that is not home.
  run_node& Other() {
    for (run_node* node : Live()) {
      if (!node->cluster->home().serving())
        return *node;
    }
    throw std::runtime_error("all instances are home");
  }

  // The registrations of the upstreams with runs lapse, and stay away until
  // these upstreams count as gone. The others have room for all tasks.
  void LapseWithRuns() {
    listed = fleet.registry;
    std::erase_if(listed, [this](const auto& entry) {
      return !fleet.upstreams.at(entry.first)->running.empty();
    });
    REQUIRE(listed.size() == 2);
    Home().cluster->SetUpstreams(listed);
    Run(kRetention);
    Home().cluster->SetUpstreams(listed);
    Run(milliseconds(10));
  }

  // The registrations that the store has left.
  upstream_registry listed;
};

}  // namespace

// Guards against a successor that starts tasks again which run on upstreams
// without a registration: it did not know of these upstreams.
TEST_CASE("unregistered upstreams: the home changes while tasks run on them") {
  unregistered_fixture d(seconds(6));
  d.LapseWithRuns();
  run_node& home = d.Home();
  SUBCASE("as its process dies") {
    d.Kill(home);
  }
  SUBCASE("as it hands over") {
    home.cluster->Leave();
  }
  SUBCASE("as its machine goes dark") {
    d.Kill(home, true);
  }
  d.Run(milliseconds(300));
  for (run_node* node : d.Live()) {
    if (node->cluster->home().serving())
      node->cluster->SetUpstreams(d.listed);
  }
  d.Run(seconds(8));
  CHECK(!d.ran_twice);
}

// Guards against a list that lacks upstreams with runs, and against one that
// keeps upstreams which are gone.
TEST_CASE("unregistered upstreams: they are known until their runs are over") {
  unregistered_fixture d(seconds(4));
  d.LapseWithRuns();
  for (run_node* node : d.Live())
    CHECK(node->cluster->upstreams().size() == 4);
  d.Run(seconds(2));
  CHECK(d.answers[kJob].size() == 1);
  // The store's list does not change meanwhile.
  for (run_node* node : d.Live())
    CHECK(node->cluster->upstreams() == d.listed);
}

// Guards against a start on an upstream that has just been dropped from the
// list, and that a successor would not know.
TEST_CASE("unregistered upstreams: one that was dropped gets no start") {
  unregistered_fixture d(seconds(6));
  upstream_registry busy = d.fleet.registry;
  std::erase_if(busy, [&](const auto& entry) {
    return d.fleet.upstreams.at(entry.first)->running.empty();
  });
  run_cluster& home = *d.Home().cluster;
  home.SetUpstreams(busy);
  for (int i = 0; i < 1000 && home.upstreams().size() > busy.size(); ++i) {
    d.Run(milliseconds(3));
    home.SetUpstreams(busy);
  }
  REQUIRE(home.upstreams().size() == busy.size());
  d.Submit(d.Other(), "00000000000000bb", 1, kCallerLimit);
  d.Run(milliseconds(100));
  CHECK(d.Starts("00000000000000bb") == 0);
}

// Guards against a successor that takes its list of upstreams for whole,
// although it was cut off from the home while that one used others.
TEST_CASE("unregistered upstreams: the successor was cut off from the home") {
  run_nodes d;
  d.estimate = seconds(4);
  auto add_upstream = [&d](const std::string& id, duration run_time) {
    d.fleet.Add(id, "north").plan = [run_time](const task_name&) {
      return std::pair(run_time, run_end::kDone);
    };
  };
  add_upstream("u1", seconds(4));
  run_node& home = d.Add("north", 1, 1.4);
  run_node& successor = d.Add("north", 2, 1.2);
  run_node& owner = d.Add("north", 3, 1);
  for (int i = 0; i < 2; ++i) {
    for (run_node* node : d.Live())
      node->cluster->SetUpstreams(d.fleet.registry);
    d.Run(kRetention);
  }
  REQUIRE(home.cluster->home().serving());
  upstream_registry without_new = d.fleet.registry;
  d.Submit(owner, "00000000000000bb", 3, kCallerLimit);
  d.Run(milliseconds(100));

  bool stood_still = false;
  SUBCASE("by the network") {}
  SUBCASE("as it stood still") {
    stood_still = true;
    d.StandStill(successor);
    d.Run(seconds(1));
  }
  d.Cut(home, successor);
  add_upstream("u2", seconds(15));
  home.cluster->SetUpstreams(d.fleet.registry);
  d.Run(milliseconds(100));
  d.Submit(owner, kJob, 1, kCallerLimit);
  d.Run(seconds(5));
  REQUIRE(d.Starts(kJob) == 1);
  REQUIRE(d.fleet.upstreams.at(upstream_id("u2"))->running.size() == 1);
  if (stood_still)
    d.GoOn(successor);
  bool hears_others = true;
  SUBCASE("and hears of the others") {}
  SUBCASE("and hears nothing of the others") {
    hears_others = false;
    d.Cut(successor, owner);
  }
  d.Kill(home);
  d.Run(milliseconds(50));
  if (!hears_others)
    d.Heal(successor, owner);
  REQUIRE(successor.cluster->home().serving());
  successor.cluster->SetUpstreams(without_new);
  d.Run(seconds(4));
  CHECK(!d.ran_twice);
}

// Guards against a home that takes the store's list of its last time as home
// for one of this time.
TEST_CASE("unregistered upstreams: a home that was home before") {
  run_nodes d;
  d.estimate = seconds(4);
  auto add_upstream = [&d](const std::string& id) {
    d.fleet.Add(id, "north").plan = [](const task_name&) {
      return std::pair<duration, run_end>(seconds(4), run_end::kDone);
    };
  };
  add_upstream("u1");
  run_node& first = d.Add("north", 1);
  run_node& owner = d.Add("south", 1);
  for (int i = 0; i < 2; ++i) {
    first.cluster->SetUpstreams(d.fleet.registry);
    d.Run(kRetention);
  }
  run_node& second = d.Add("north", 2, 2);
  d.Run(seconds(3));
  REQUIRE(second.cluster->home().serving());
  second.cluster->SetUpstreams(d.fleet.registry);
  d.Run(milliseconds(100));

  // The second home dies as it uses a new upstream, before it can tell.
  d.Cut(first, second);
  d.fleet.registry.at(upstream_id("u1")).draining = true;
  add_upstream("u2");
  second.cluster->SetUpstreams(d.fleet.registry);
  d.Run(milliseconds(20));
  d.Submit(owner, kJob, 1, kCallerLimit);
  d.Run(milliseconds(50));
  REQUIRE(d.fleet.upstreams.at(upstream_id("u2"))->running.size() == 1);
  d.Kill(second);
  d.Run(milliseconds(50));
  REQUIRE(first.cluster->home().serving());
  first.cluster->OnConfigDocument("parts", "test");
  d.Run(seconds(3));
  CHECK(!d.ran_twice);
}

}  // namespace jasminedyke
