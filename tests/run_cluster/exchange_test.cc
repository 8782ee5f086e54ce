// Jobs that go from a pressed home to one that asked for work.

#include <string>

#include <doctest/doctest.h>

#include "fakes/run_nodes.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

constexpr int kJobs = 8;

// Two failure domains with one upstream each, of three places. Both are full
// when jobs come in the north; then the south becomes free.
struct two_domains : run_nodes {
  two_domains() {
    for (const std::string domain : {"north", "south"}) {
      fake_upstream& upstream = fleet.Add(domain + "-u", domain);
      upstream.plan = [this](const task_name& task) {
        bool is_long = task.job.str().starts_with("long");
        return std::pair(is_long ? long_time : milliseconds(50),
                         run_end::kDone);
      };
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
    throw std::runtime_error("no home in " + domain);
  }
  run_node& OtherOf(const std::string& domain) {
    for (run_node* node : Live()) {
      if (node->self.domain.str() == domain && !node->cluster->home().serving())
        return *node;
    }
    throw std::runtime_error("all are home in " + domain);
  }

  // Until just before the south's places are free: those of the north stay
  // taken for half a second more.
  void FillBoth() {
    Submit(OtherOf("south"), "short", 3);
    Run(milliseconds(10));
    estimate = milliseconds(500);
    Submit(OtherOf("north"), "long", 3);
    Run(milliseconds(10));
    estimate = milliseconds(50);
    for (int i = 0; i < kJobs; ++i)
      Submit(OtherOf("north"), "job" + std::to_string(i), 1);
    Run(milliseconds(10));
  }

  void RunUntilGiven() {
    for (int i = 0; i < 400 && Given() == 0; ++i)
      Run(milliseconds(1));
    REQUIRE(Given() > 0);
  }

  uint64_t Given() { return HomeOf("north").cluster->home().metrics().given; }

  // Every job has one answer; nothing ran twice at a time, nor what was said
  // not to have run.
  void CheckHonest() {
    for (int i = 0; i < kJobs; ++i) {
      std::string key = "job" + std::to_string(i);
      REQUIRE(answers[key].size() == 1);
      if (answers[key][0].outcome != run_outcome::kNotRun)
        continue;
      for (auto& [id, upstream] : fleet.upstreams) {
        for (const auto& [task, count] : upstream->starts)
          CHECK(task.job.str() != key);
      }
    }
    CHECK_FALSE(ran_twice);
  }

  // Every job is done, and no task began more than once.
  void CheckAllDone() {
    for (int i = 0; i < kJobs; ++i) {
      std::string key = "job" + std::to_string(i);
      REQUIRE(answers[key].size() == 1);
      CHECK(answers[key][0].outcome == run_outcome::kSucceeded);
    }
    CHECK_FALSE(ran_twice);
    for (auto& [id, upstream] : fleet.upstreams) {
      for (const auto& [task, count] : upstream->starts)
        CHECK(count == 1);
    }
  }

  duration long_time = milliseconds(500);
};

}  // namespace

TEST_CASE("exchange: jobs that wait go where places became free") {
  two_domains f;
  f.FillBoth();
  CHECK(f.Given() == 0);
  f.RunUntilGiven();
  f.Run(milliseconds(10));
  CHECK(f.OtherOf("north").cluster->desk().metrics().pulled == f.Given());
  f.Run(milliseconds(1000));
  f.CheckAllDone();
}

TEST_CASE("exchange: the home that asked dies before the jobs are there") {
  // Guards against jobs lost with a home that had only asked for them.
  two_domains f;
  f.FillBoth();
  f.RunUntilGiven();
  f.Kill(f.HomeOf("south"));
  f.Run(milliseconds(2000));
  f.CheckHonest();
}

TEST_CASE("exchange: the home that gives dies after it has handed back") {
  // Guards against jobs done twice, by the receiver and by a successor.
  two_domains f;
  f.FillBoth();
  f.RunUntilGiven();
  f.Kill(f.HomeOf("north"));
  f.Run(milliseconds(2000));
  f.CheckHonest();
}

TEST_CASE("exchange: the owner is cut off from the home that asked") {
  // Guards against jobs that are handed back and have no way to go.
  two_domains f;
  f.FillBoth();
  f.RunUntilGiven();
  f.Cut(f.OtherOf("north"), f.HomeOf("south"));
  f.Run(milliseconds(2000));
  f.CheckHonest();
}

TEST_CASE("exchange: the home that asked has turned slow") {
  // Guards against jobs that wait for orders which its upstream answers late:
  // none is begun elsewhere until that is proven not to run.
  two_domains f;
  f.FillBoth();
  f.RunUntilGiven();
  f.fleet.fate = [](const upstream_id& id, const std::string&) {
    return id.str() == "south-u" ? call_fate::kDelayed : call_fate::kAnswered;
  };
  f.Run(milliseconds(1000));
  f.fleet.fate = [](const upstream_id&, const std::string&) {
    return call_fate::kAnswered;
  };
  f.Run(milliseconds(3000));
  f.CheckHonest();
}

}  // namespace jasminedyke
