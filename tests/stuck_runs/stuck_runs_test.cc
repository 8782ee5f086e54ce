// Which runs are stuck, and which upstreams slow.

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/home_fixture.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

run_sight Sight(int took_ms, int usual_ms, int longest_ms) {
  run_sight sight;
  sight.took = milliseconds(took_ms);
  sight.expected = {milliseconds(usual_ms), milliseconds(longest_ms)};
  sight.asked = true;
  return sight;
}

void List(run_sight& sight, int percent, int reached_ms, int listed_ms) {
  sight.percent = percent;
  sight.reached = milliseconds(reached_ms);
  sight.listed = milliseconds(listed_ms);
  sight.since_listed = sight.took - sight.listed;
}

// A home among upstreams that list how far their runs are.
struct stuck_home : home_fixture {
  // Upstreams of these speeds in turn, each with room for two tasks.
  void Begin(int upstreams, const std::vector<double>& speeds) {
    for (int i = 0; i < upstreams; ++i) {
      fake_upstream& upstream =
          fleet.Add("u" + std::to_string(10 + i), "north");
      upstream.lists_progress = lists_progress;
      upstream.speed = speeds[i % speeds.size()];
      upstream.plan = [this](const task_name& task) {
        return std::pair(LengthOf(task), run_end::kDone);
      };
    }
    home_fixture::Begin();
  }

  duration LengthOf(const task_name& task) {
    auto known = lengths.find(task);
    return known == lengths.end() ? milliseconds(100) : known->second;
  }

  // `guess` of a job of `tasks` tasks that each take `length` times a random
  // factor near 1.
  job_key Submit(uint32_t tasks,
                 duration length,
                 duration guess,
                 duration objective = milliseconds(400)) {
    run_request request;
    request.job = job_key("job" + std::to_string(jobs++));
    request.submission = submission_id(1);
    request.queue = queue_id("q");
    request.service = service_id("parts");
    request.spec = "14000";
    request.to_objective = objective;
    request.to_limit = std::chrono::seconds(30);
    request.max_attempts = 2;
    for (uint32_t i = 0; i < tasks; ++i) {
      task_demand demand;
      demand.position.index = i;
      demand.need = {14'000, 64, 0};
      demand.estimate = guess;
      request.tasks.push_back(demand);
      lengths[{request.job, 0, demand.position}] =
          FromSeconds(ToSeconds(length) * Uniform(0.85, 1.15));
    }
    asked += static_cast<int>(tasks);
    home.OnRequest(instance_id("entry-1"), request);
    return request.job;
  }

  void Run(duration length) {
    for (time_point end = clock.now() + length; clock.now() < end;)
      clock.Advance(milliseconds(1));
  }

  // A job of two or three tasks each 40 ms, guesses off by 40 %.
  void Play(duration length, double tail_share = 0) {
    for (time_point end = clock.now() + length; clock.now() < end;) {
      duration each = FromSeconds(0.1 * Uniform(0.8, 1.2) *
                                  (Uniform(0, 1) < tail_share ? 7 : 1));
      duration guess = FromSeconds(0.1 * Uniform(0.6, 1.4));
      Submit(2 + jobs % 2, each, guess);
      Run(milliseconds(40));
    }
  }

  double Uniform(double from, double to) {
    return std::uniform_real_distribution<>(from, to)(random);
  }
  fake_upstream& At(int number) {
    return *fleet.upstreams.at(upstream_id("u" + std::to_string(10 + number)));
  }
  uint64_t Stuck() {
    uint64_t all = 0;
    for (const auto& [evidence, count] : home.metrics().stuck)
      all += count;
    return all;
  }
  uint64_t Stuck(stuck_evidence evidence) {
    auto found = home.metrics().stuck.find(evidence);
    return found == home.metrics().stuck.end() ? 0 : found->second;
  }
  // How long the run takes until it is stopped, of one that hangs.
  duration UntilStopped(duration at_most) {
    uint64_t before = Stuck();
    time_point begun = clock.now();
    while (Stuck() == before && clock.now() - begun < at_most)
      Run(milliseconds(1));
    return clock.now() - begun;
  }

  std::mt19937_64 random{3};
  bool lists_progress = true;
  std::map<task_name, duration> lengths;
  int jobs = 0;
  int asked = 0;
};

}  // namespace

TEST_CASE("stuck_runs: progress goes before any expectation") {
  // It advances, far beyond what sound runs take.
  run_sight sight = Sight(2000, 100, 300);
  List(sight, 40, 1990, 1995);
  run_judgement judgement = JudgeRun(sight);
  CHECK(judgement.state == run_condition::kAdvancing);
  CHECK(ToMilliseconds(judgement.takes) == doctest::Approx(1995 / 0.41));
  // It stands still, though it is young.
  List(sight = Sight(140, 100, 300), 30, 40, 135);
  CHECK(JudgeRun(sight).state == run_condition::kStuck);
  CHECK(JudgeRun(sight).evidence == stuck_evidence::kProgress);
  // It has not begun to work at all.
  List(sight = Sight(140, 100, 300), 0, 135, 135);
  CHECK(JudgeRun(sight).state == run_condition::kStuck);
  // It began late.
  sight.began = milliseconds(130);
  CHECK(JudgeRun(sight).state == run_condition::kSound);
  // A long expectation gives a per cent more time.
  List(sight = Sight(140, 900, 3000), 30, 40, 135);
  CHECK(JudgeRun(sight).state == run_condition::kSound);
  // Too early to foretell anything.
  List(sight = Sight(60, 100, 300), 1, 10, 10);
  CHECK(JudgeRun(sight).state == run_condition::kSound);
  // Nobody knows when it began: what its end would be can't be said.
  List(sight = Sight(140, 100, 300), 30, 130, 135);
  sight.adopted = true;
  CHECK(JudgeRun(sight).state == run_condition::kSound);
}

TEST_CASE("home_job: its pace is not that of one upstream") {
  home_job job;
  CHECK(job.MedianPace() == 0);
  upstream_id slow("slow");
  job.AddPace({4, slow});
  job.AddPace({4.2, slow});
  CHECK(job.MedianPace() == 4);
  CHECK(job.MedianPaceExcluding(slow) == 0);
  job.AddPace({1.1, upstream_id("a")});
  job.AddPace({1.3, upstream_id("b")});
  CHECK(job.MedianPace() == 1.3);
  CHECK(job.MedianPaceExcluding(slow) == 1.1);
}

TEST_CASE("stuck_runs: without progress only the time tells") {
  CHECK(!JudgeRun(Sight(140, 100, 300)).ask);
  CHECK(JudgeRun(Sight(160, 100, 300)).ask);
  CHECK(JudgeRun(Sight(160, 100, 300)).state == run_condition::kSound);
  CHECK(JudgeRun(Sight(310, 100, 300)).state == run_condition::kStuck);
  CHECK(JudgeRun(Sight(310, 100, 300)).evidence == stuck_evidence::kGuess);
  // Its upstream may list it in a moment.
  run_sight sight = Sight(310, 100, 300);
  sight.asked = false;
  CHECK(JudgeRun(sight).state == run_condition::kSound);
  CHECK(JudgeRun(sight).ask);
  sight = Sight(310, 100, 300);
  sight.pace_known = true;
  CHECK(JudgeRun(sight).evidence == stuck_evidence::kPace);
  // What was listed long ago says nothing.
  List(sight, 50, 20, 20);
  CHECK(JudgeRun(sight).evidence == stuck_evidence::kPace);
  sight.adopted = true;
  CHECK(JudgeRun(sight).state == run_condition::kSound);
  // Of a task without any expectation: it is looked at, and left alone.
  CHECK(JudgeRun(Sight(1500, 0, 0)).ask);
  CHECK(JudgeRun(Sight(60'000, 0, 0)).state == run_condition::kSound);
}

TEST_CASE("upstream_standing: slow is what several jobs show") {
  upstream_standing standing;
  time_point now;
  task_name first{job_key("a"), 0, {}};
  task_name second{job_key("b"), 0, {}};
  standing.OnSlow(now, first, 0.001);
  standing.OnSlow(now, first, 0.001);
  CHECK(standing.good());
  standing.OnSlow(now, second, 0.005);
  CHECK(!standing.good());
  standing.OnDone();
  CHECK(standing.good());
  // Where long tasks are frequent more of them are needed.
  standing.OnSlow(now, first, 0.03);
  standing.OnSlow(now, second, 0.03);
  CHECK(standing.good());
  standing.OnSlow(now, first, 0.03);
  CHECK(!standing.good());
}

TEST_CASE("stuck_runs: three speeds with healthy siblings") {
  // Guards against sound runs stopped because siblings ran on faster upstreams.
  stuck_home d;
  d.Begin(18, {0.6, 1.0, 1.6});
  d.Play(std::chrono::seconds(10));
  d.Run(std::chrono::seconds(3));
  CHECK(d.Stuck() == 0);
  CHECK(d.home.metrics().trials == 0);
  CHECK(d.Count(task_verdict::kDone) == d.asked);
}

TEST_CASE("stuck_runs: three speeds, and long tasks that nobody foresees") {
  stuck_home d;
  d.Begin(24, {0.6, 1.0, 1.6});
  d.Play(std::chrono::seconds(10), 0.03);
  d.Run(std::chrono::seconds(6));
  CHECK(d.Stuck() == 0);
  CHECK(d.home.metrics().trials <= 2);
  CHECK(d.Count(task_verdict::kDone) == d.asked);
}

TEST_CASE("stuck_runs: a task that hangs") {
  // Guards against a job that waits for one hung run until its caller leaves.
  stuck_home d;
  SUBCASE("its upstream lists progress") {
    d.Begin(6, {0.6, 1.0, 1.6});
  }
  SUBCASE("its upstream lists none") {
    d.lists_progress = false;
    d.Begin(6, {1.0});
  }
  d.Play(std::chrono::seconds(4));
  d.Run(std::chrono::seconds(2));
  CHECK(d.Stuck() == 0);
  job_key job = d.Submit(1, milliseconds(100), milliseconds(100));
  d.lengths[{job, 0, {}}] = std::chrono::hours(1);
  for (auto& [id, upstream] : d.fleet.upstreams)
    upstream->hangs = [&](const task_name& task) { return task.job == job; };
  // No later than by a fixed multiple of the guess.
  CHECK(ToMilliseconds(d.UntilStopped(std::chrono::seconds(2))) <=
        350 + 50 + 10);
  for (auto& [id, upstream] : d.fleet.upstreams)
    upstream->hangs = nullptr;
  d.lengths.erase({job, 0, {}});
  d.Run(std::chrono::seconds(1));
  CHECK(d.Count(task_verdict::kDone) == d.asked);
}

TEST_CASE("stuck_runs: a queue without guesses") {
  // Guards against hung runs that nobody looks for as there is no guess.
  stuck_home d;
  d.Begin(6, {0.6, 1.0, 1.6});
  for (int i = 0; i < 100; ++i) {
    d.Submit(2, milliseconds(100), duration::zero());
    d.Run(milliseconds(60));
  }
  d.Run(std::chrono::seconds(1));
  CHECK(d.Stuck() == 0);
  job_key job = d.Submit(1, milliseconds(100), duration::zero());
  for (auto& [id, upstream] : d.fleet.upstreams)
    upstream->hangs = [&](const task_name& task) { return task.job == job; };
  CHECK(ToMilliseconds(d.UntilStopped(std::chrono::seconds(2))) < 500);
}

TEST_CASE("stuck_runs: a whole upstream hangs") {
  // Its health is good and it starts what it is told to; nothing ends.
  stuck_home d;
  d.Begin(6, {0.6, 1.0, 1.6});
  d.Play(std::chrono::seconds(3));
  fake_upstream& hung = d.At(1);
  hung.hangs = [](const task_name&) { return true; };
  d.Play(std::chrono::seconds(3));
  size_t touched = hung.starts.size();
  // Two tasks, then single trials.
  CHECK(d.Stuck() >= 1);
  CHECK(d.Stuck() <= 6);
  CHECK(d.Stuck(stuck_evidence::kProgress) == d.Stuck());
  hung.hangs = nullptr;
  // Where there is no other room it gets a trial, and is trusted again.
  for (int i = 0; i < 20; ++i) {
    for (int j = 0; j < 8; ++j)
      d.Submit(2, milliseconds(100), milliseconds(100), milliseconds(900));
    d.Run(milliseconds(500));
  }
  CHECK(hung.starts.size() > touched + 10);
  CHECK(d.Count(task_verdict::kDone) == d.asked);
}

TEST_CASE("stuck_runs: all upstreams of one kind are slow at once") {
  // Guards against a home that takes all of its room out of use.
  stuck_home d;
  d.Begin(12, {1.0});
  d.Play(std::chrono::seconds(3));
  for (auto& [id, upstream] : d.fleet.upstreams)
    upstream->speed = 0.2;
  for (int i = 0; i < 20; ++i) {
    d.Submit(2, milliseconds(100), milliseconds(100), milliseconds(600));
    d.Run(milliseconds(150));
  }
  d.Run(std::chrono::seconds(3));
  CHECK(d.Stuck() <= 2);
  CHECK(d.home.metrics().trials <= 4);
  CHECK(d.Count(task_verdict::kDone) == d.asked);
}

TEST_CASE("stuck_runs: runs of a slowed upstream advance") {
  // Started again only where that is worth more to their jobs.
  stuck_home d;
  d.Begin(6, {1.0});
  d.Play(std::chrono::seconds(3));
  d.Run(std::chrono::seconds(1));
  fake_upstream& slowed = d.At(2);
  double slowdown = 8;
  duration objective;
  bool pays = false;
  SUBCASE("an answer in time is still possible elsewhere") {
    objective = milliseconds(900);
    pays = true;
  }
  SUBCASE("its answer would come too late to be of use") {
    objective = milliseconds(300);
    pays = true;
  }
  SUBCASE("the job is late either way") {
    objective = milliseconds(480);
    slowdown = 4;
  }
  SUBCASE("the job has time") {
    objective = std::chrono::seconds(4);
  }
  slowed.speed = 1 / slowdown;
  // Enough at once for all upstreams.
  for (int i = 0; i < 4; ++i)
    d.Submit(3, milliseconds(300), milliseconds(300), objective);
  d.Run(std::chrono::seconds(4));
  CHECK((d.Stuck() > 0) == pays);
  CHECK(d.Stuck() <= 3);
  CHECK(d.Count(task_verdict::kDone) == d.asked);
  CHECK(d.home.metrics().done == static_cast<uint64_t>(d.asked));
}

}  // namespace jasminedyke
