// Tests drains of failure domains with complete instances.

#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/run_nodes.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

const failure_domain_id kNorth("north");
const failure_domain_id kSouth("south");
constexpr duration kFinishTime = milliseconds(500);

// Two failure domains with two instances and four upstreams each. Two of the
// tests' tasks fit on an upstream.
struct two_domains : run_nodes {
  explicit two_domains(duration run_time = milliseconds(50)) {
    home_settings.drain_grace_period = kFinishTime;
    estimate = run_time;
    for (const char* domain : {"north", "south"}) {
      for (int i = 0; i < 4; ++i) {
        fake_upstream& upstream = fleet.Add(domain + std::to_string(i), domain);
        upstream.capacity = {20'000, 65'536, 0};
        fleet.registry[upstream_id(domain + std::to_string(i))].capacity =
            upstream.capacity;
        upstream.plan = [run_time](const task_name&) {
          return std::pair<duration, run_end>(run_time, run_end::kDone);
        };
      }
    }
    for (const char* domain : {"north", "south"}) {
      Add(domain, 1, 2);
      Add(domain, 2);
    }
    for (run_node* node : Live())
      node->cluster->OnConfigDocument("parts", "store");
    Run(milliseconds(1500));
  }

  run_node& At(const std::string& name) {
    run_node* node = Find(name);
    REQUIRE(node);
    return *node;
  }

  int StartsIn(const std::string& domain) {
    int starts = 0;
    for (auto& [id, upstream] : fleet.upstreams) {
      if (!id.str().starts_with(domain))
        continue;
      for (const auto& [task, count] : upstream->starts)
        starts += count;
    }
    return starts;
  }

  // Submits jobs of two tasks through all instances, one every 10 ms.
  void SubmitMany(int jobs) {
    for (int i = 0; i < jobs; ++i) {
      auto live = Live();
      Submit(*live[i % live.size()], "many" + std::to_string(next_++), 2);
      Run(milliseconds(10));
    }
  }

  // Returns the only answer to a job.
  run_answer Only(const std::string& key) {
    REQUIRE(answers[key].size() == 1);
    return answers[key][0];
  }

 private:
  int next_ = 0;
};

}  // namespace

TEST_CASE("drain: a drained failure domain's callers are served by others") {
  two_domains d;
  d.Drain({kNorth});
  d.Run(milliseconds(20));
  int before = d.StartsIn("north");
  d.SubmitMany(20);
  d.Run(milliseconds(500));
  CHECK(d.StartsIn("north") == before);
  for (const auto& [key, answers] : d.answers) {
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].outcome == run_outcome::kSucceeded);
  }
  CHECK(d.At("north-1").cluster->ready());
}

TEST_CASE("drain: a domain serves at once when its drain is revoked") {
  two_domains d;
  d.Drain({kNorth});
  d.Run(milliseconds(100));
  d.Drain({});
  d.Run(milliseconds(5));
  int before = d.StartsIn("north");
  d.Submit(d.At("north-2"), "job", 2);
  d.Run(milliseconds(100));
  CHECK(d.Only("job").outcome == run_outcome::kSucceeded);
  CHECK(d.StartsIn("north") == before + 2);
}

TEST_CASE("drain: begun jobs are finished, others go elsewhere") {
  // Eight tasks fill the domain. When the drain arrives, a job has begun six of
  // its ten tasks, and another job waits behind it.
  two_domains d(milliseconds(200));
  d.Submit(d.At("north-1"), "first", 2, milliseconds(1500));
  d.Run(milliseconds(10));
  for (auto& [id, upstream] : d.fleet.upstreams) {
    if (id.str().starts_with("south"))
      upstream->capacity = {0, 0, 0};
  }
  for (auto& [id, info] : d.fleet.registry) {
    if (info.failure_domain == kSouth)
      info.capacity = {0, 0, 0};
  }
  for (run_node* node : d.Live())
    node->cluster->SetUpstreams(d.fleet.registry);
  d.Run(milliseconds(60));
  d.Submit(d.At("north-1"), "begun", 10);
  d.Run(milliseconds(30));
  d.Submit(d.At("north-1"), "waits", 2);
  d.Run(milliseconds(10));
  d.Drain({kNorth});
  d.Run(milliseconds(10));
  CHECK(d.Only("waits").outcome == run_outcome::kNotRun);
  d.Run(milliseconds(600));
  CHECK(d.Only("begun").outcome == run_outcome::kSucceeded);
  CHECK(d.Only("first").outcome == run_outcome::kSucceeded);
}

TEST_CASE("drain: nothing starts after the time to finish") {
  // A job's task fails repeatedly, beginning before the drain, and the time to
  // finish ends amid its attempts. The caller then gets an answer at once that
  // doesn't claim that nothing ran.
  two_domains d;
  for (auto& [id, upstream] : d.fleet.upstreams) {
    upstream->plan = [](const task_name&) {
      return std::pair<duration, run_end>(milliseconds(300), run_end::kFailed);
    };
  }
  d.Submit(d.At("north-1"), "job", 1);
  d.Run(milliseconds(10));
  d.Drain({kNorth});
  d.Run(kFinishTime);
  int before = d.StartsIn("north");
  CHECK(before == 2);
  d.Run(milliseconds(150));
  CHECK(d.StartsIn("north") == before);
  CHECK(d.Only("job").outcome == run_outcome::kUnknown);
}

TEST_CASE("drain: an instance cut off from the store learns it from peers") {
  two_domains d;
  d.At("north-1").tables.cut = true;
  d.At("north-2").tables.cut = true;
  d.Drain({kNorth});
  d.Run(milliseconds(20));
  int before = d.StartsIn("north");
  d.SubmitMany(8);
  d.Run(milliseconds(200));
  CHECK(d.StartsIn("north") == before);
}

TEST_CASE("drain: all homes of the domain are lost while the store is silent") {
  // All instances know of the drain. Then the store becomes unreachable, and
  // both instances of the domain lose power and restart without any state.
  two_domains d;
  d.Drain({kNorth});
  d.Run(milliseconds(50));
  int before = d.StartsIn("north");
  d.store.outage = true;
  run_node& first = d.At("north-1");
  run_node& second = d.At("north-2");
  d.Kill(first, true);
  d.Kill(second, true);
  d.Run(milliseconds(300));
  d.Restart(first);
  d.Restart(second);
  for (int i = 0; i < 40; ++i) {
    d.Submit(*d.Live()[i % 4], "job" + std::to_string(i), 2);
    d.Run(milliseconds(100));
  }
  CHECK(d.StartsIn("north") == before);
  CHECK(d.At("north-1").cluster->drained().domains == std::set{kNorth});
}

TEST_CASE("drain: a home that begins without the store knows of it") {
  // The home loses power while the store is unreachable. The domain's other
  // instance, which had restarted during the drain, replaces it.
  two_domains d;
  d.Drain({kNorth});
  run_node& second = d.At("north-2");
  d.Kill(second);
  d.store.outage = true;
  d.Restart(second);
  d.Run(milliseconds(300));
  int before = d.StartsIn("north");
  d.Kill(d.At("north-1"), true);
  d.Run(milliseconds(2500));
  REQUIRE(d.At("north-2").cluster->home().serving());
  d.SubmitMany(8);
  d.Run(milliseconds(200));
  CHECK(d.StartsIn("north") == before);
}

TEST_CASE("drain: a home that knows of no drain state starts nothing") {
  // An instance starts without links to its peers. It can write the homes' row,
  // but has not received the operators' rows yet.
  two_domains d;
  d.Drain({kNorth});
  d.linked_from_start = false;
  run_node& first = d.At("north-1");
  run_node& second = d.At("north-2");
  d.Kill(first);
  d.Kill(second);
  d.store.outage = true;
  run_node& alone = d.Restart(first);
  d.store.outage = false;
  int before = d.StartsIn("north");
  d.Run(milliseconds(2500));
  REQUIRE(alone.cluster->home().serving());
  d.Submit(alone, "job", 2, milliseconds(400));
  d.Run(milliseconds(200));
  CHECK(d.StartsIn("north") == before);
  SUBCASE("until it hears that the domain serves") {
    d.Drain({});
    d.Run(milliseconds(100));
    CHECK(d.Only("job").outcome == run_outcome::kSucceeded);
  }
  SUBCASE("and hands jobs back when it hears that the domain is drained") {
    d.Drain({kNorth});
    d.Run(milliseconds(10));
    CHECK(d.Only("job").outcome == run_outcome::kNotRun);
    CHECK(d.Only("job").reason == run_refusal::kDrained);
  }
}

TEST_CASE("drain: a second drain is not mistaken for the first") {
  // An outdated peer reports the end of the first drain after the second drain
  // has begun. Guards against ordering states by their arrival.
  two_domains d;
  run_node& north = d.At("north-1");
  d.Drain({kNorth});
  d.Drain({});
  drained_domains end = d.drained;
  d.Drain({kNorth});
  d.Run(milliseconds(20));
  north.cluster->OnDrainedDomains(end);
  d.At("south-1").cluster->OnDrainedDomains(end);
  d.Run(milliseconds(20));
  int before = d.StartsIn("north");
  d.SubmitMany(8);
  d.Run(milliseconds(200));
  CHECK(d.StartsIn("north") == before);
}

TEST_CASE("drain: a peer that was cut off gets the newer state") {
  two_domains d;
  run_node& north = d.At("north-2");
  for (run_node* other : d.Live()) {
    if (other != &north)
      d.Cut(north, *other);
  }
  north.tables.cut = true;
  d.Drain({kNorth});
  d.Run(milliseconds(50));
  CHECK(north.cluster->drained().domains.empty());
  d.Heal(north, d.At("south-2"));
  d.Run(milliseconds(20));
  CHECK(north.cluster->drained().domains == std::set{kNorth});
}

TEST_CASE("drain: runs continue under a drain and a change of homes") {
  // The home of the drained domain is killed during a job's runs. Its successor
  // adopts them and starts nothing.
  two_domains d(milliseconds(700));
  d.Submit(d.At("north-2"), "job", 6);
  d.Run(milliseconds(50));
  d.Drain({kNorth});
  d.Run(milliseconds(50));
  int before = d.StartsIn("north") + d.StartsIn("south");
  REQUIRE(before == 6);
  d.Kill(d.At("north-1"));
  d.Run(milliseconds(1200));
  CHECK(d.Only("job").outcome == run_outcome::kSucceeded);
  CHECK(d.StartsIn("north") + d.StartsIn("south") == before);
}

TEST_CASE("drain: owners on slow links send no start to a drained domain") {
  two_domains d;
  d.home_settings.link_bytes_per_second = 1;
  for (const char* name : {"north-1", "north-2", "south-1", "south-2"}) {
    run_node& node = d.At(name);
    d.Kill(node);
    d.Restart(node);
    d.Run(milliseconds(200));
  }
  d.Run(milliseconds(1500));
  d.SubmitMany(8);
  d.Drain({kNorth});
  d.Run(milliseconds(300));
  int before = d.StartsIn("north");
  d.SubmitMany(16);
  d.Run(milliseconds(300));
  CHECK(d.StartsIn("north") == before);
}

TEST_CASE("drain: a drained domain's home begins first after a power loss") {
  // After a power loss of all instances, the drained domain's home begins
  // first. Guards against telling a caller that arrives then that all domains
  // are drained: the other domain's home begins a moment later and serves it.
  two_domains d;
  d.Drain({kNorth});
  d.Run(milliseconds(50));
  std::vector<run_node*> all = d.Live();
  for (run_node* node : all)
    d.Kill(*node, true);
  d.Run(milliseconds(500));
  run_node& first = d.Restart(*all[0]);
  first.cluster->OnConfigDocument("parts", "store");
  d.Run(milliseconds(180));
  REQUIRE(first.cluster->home().serving());
  d.Submit(first, "job", 2);
  d.Run(milliseconds(100));
  d.Restart(*all[2]);
  d.Run(milliseconds(400));
  CHECK(d.Only("job").outcome == run_outcome::kSucceeded);
}

TEST_CASE("drain: with all domains drained callers are refused at once") {
  two_domains d;
  d.Drain({kNorth, kSouth});
  d.Run(milliseconds(5));
  d.Submit(d.At("south-1"), "job", 2);
  d.Run(milliseconds(2));
  run_answer answer = d.Only("job");
  CHECK(answer.outcome == run_outcome::kNotRun);
  CHECK(answer.reason == run_refusal::kDrained);
  CHECK(answer.retry_after >= std::chrono::seconds(1));
  CHECK(d.At("south-1").cluster->ready());
  CHECK(d.StartsIn("north") + d.StartsIn("south") == 0);
}

}  // namespace jasminedyke
