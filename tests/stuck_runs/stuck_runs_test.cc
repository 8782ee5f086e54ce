// Tests which runs are judged stuck and which upstreams slow.

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

run_observation Observation(int elapsed_ms, int usual_ms, int longest_ms) {
  run_observation run;
  run.elapsed = milliseconds(elapsed_ms);
  run.expected = {milliseconds(usual_ms), milliseconds(longest_ms)};
  run.asked = true;
  return run;
}

void List(run_observation& run, int percent, int reached_ms, int listed_ms) {
  run.percent = percent;
  run.reached = milliseconds(reached_ms);
  run.listed = milliseconds(listed_ms);
  run.since_listed = run.elapsed - run.listed;
}

// A home whose upstreams list the progress of their runs.
struct stuck_home : home_fixture {
  // Adds upstreams that take these speeds in turn, each with room for two
  // tasks.
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

  // Submits a job of `tasks` tasks that each take `length` times a random
  // factor near 1; the caller estimates `guess` for each.
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
    submitted_tasks += static_cast<int>(tasks);
    home.OnRequest(instance_id("entry-1"), request);
    return request.job;
  }

  void Run(duration length) {
    for (time_point end = clock.now() + length; clock.now() < end;)
      clock.Advance(milliseconds(1));
  }

  // Submits a job of two or three tasks every 40 ms. Estimates are off by up to
  // 40 %, and `tail_share` of the jobs take seven times as long.
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
  // Time until the next run is stopped as stuck.
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
  int submitted_tasks = 0;
};

}  // namespace

TEST_CASE("stuck_runs: listed progress takes precedence over expected times") {
  // The run advances, though it takes far longer than healthy runs.
  run_observation run = Observation(2000, 100, 300);
  List(run, 40, 1990, 1995);
  run_judgement judgement = JudgeRun(run);
  CHECK(judgement.condition == run_condition::kAdvancing);
  CHECK(ToMilliseconds(judgement.predicted_length) ==
        doctest::Approx(1995 / 0.41));
  // The run makes no progress, though it is young.
  List(run = Observation(140, 100, 300), 30, 40, 135);
  CHECK(JudgeRun(run).condition == run_condition::kStuck);
  CHECK(JudgeRun(run).evidence == stuck_evidence::kProgress);
  // The run has stayed at 0 %.
  List(run = Observation(140, 100, 300), 0, 135, 135);
  CHECK(JudgeRun(run).condition == run_condition::kStuck);
  // The run began late.
  run.began = milliseconds(130);
  CHECK(JudgeRun(run).condition == run_condition::kHealthy);
  // A longer expected time allows more time for each per cent.
  List(run = Observation(140, 900, 3000), 30, 40, 135);
  CHECK(JudgeRun(run).condition == run_condition::kHealthy);
  // It is too early to predict the end.
  List(run = Observation(60, 100, 300), 1, 10, 10);
  CHECK(JudgeRun(run).condition == run_condition::kHealthy);
  // The start of an adopted run is unknown, so its end can't be predicted.
  List(run = Observation(140, 100, 300), 30, 130, 135);
  run.adopted = true;
  CHECK(JudgeRun(run).condition == run_condition::kHealthy);
}

TEST_CASE("home_job: the pace of a job does not depend on one upstream alone") {
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

TEST_CASE(
    "stuck_runs: without listed progress runs are judged by elapsed time") {
  CHECK(!JudgeRun(Observation(140, 100, 300)).ask_progress);
  CHECK(JudgeRun(Observation(160, 100, 300)).ask_progress);
  CHECK(JudgeRun(Observation(160, 100, 300)).condition ==
        run_condition::kHealthy);
  CHECK(JudgeRun(Observation(310, 100, 300)).condition ==
        run_condition::kStuck);
  CHECK(JudgeRun(Observation(310, 100, 300)).evidence ==
        stuck_evidence::kGuess);
  // The upstream has not had time to list the run's progress.
  run_observation run = Observation(310, 100, 300);
  run.asked = false;
  CHECK(JudgeRun(run).condition == run_condition::kHealthy);
  CHECK(JudgeRun(run).ask_progress);
  run = Observation(310, 100, 300);
  run.pace_known = true;
  CHECK(JudgeRun(run).evidence == stuck_evidence::kPace);
  // An old listing is ignored.
  List(run, 50, 20, 20);
  CHECK(JudgeRun(run).evidence == stuck_evidence::kPace);
  run.adopted = true;
  CHECK(JudgeRun(run).condition == run_condition::kHealthy);
  // A task without any expected time: the upstream is asked for progress, and
  // the run goes on.
  CHECK(JudgeRun(Observation(1500, 0, 0)).ask_progress);
  CHECK(JudgeRun(Observation(60'000, 0, 0)).condition ==
        run_condition::kHealthy);
}

TEST_CASE(
    "upstream_standing: an upstream is slow after slow runs of several jobs") {
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
  // Where long tasks are frequent, more slow runs are needed.
  standing.OnSlow(now, first, 0.03);
  standing.OnSlow(now, second, 0.03);
  CHECK(standing.good());
  standing.OnSlow(now, first, 0.03);
  CHECK(!standing.good());
}

TEST_CASE("stuck_runs: healthy runs on upstreams of three speeds go on") {
  // Guards against healthy runs being stopped because other tasks of their job
  // ran on faster upstreams.
  stuck_home f;
  f.Begin(18, {0.6, 1.0, 1.6});
  f.Play(std::chrono::seconds(10));
  f.Run(std::chrono::seconds(3));
  CHECK(f.Stuck() == 0);
  CHECK(f.home.metrics().trials == 0);
  CHECK(f.Count(task_verdict::kDone) == f.submitted_tasks);
}

TEST_CASE(
    "stuck_runs: unexpectedly long tasks on upstreams of three speeds go on") {
  stuck_home f;
  f.Begin(24, {0.6, 1.0, 1.6});
  f.Play(std::chrono::seconds(10), 0.03);
  f.Run(std::chrono::seconds(6));
  CHECK(f.Stuck() == 0);
  CHECK(f.home.metrics().trials <= 2);
  CHECK(f.Count(task_verdict::kDone) == f.submitted_tasks);
}

TEST_CASE("stuck_runs: a hung run is stopped and started again") {
  // Guards against a job that waits for one hung run until its caller leaves.
  stuck_home f;
  SUBCASE("its upstream lists progress") {
    f.Begin(6, {0.6, 1.0, 1.6});
  }
  SUBCASE("its upstream lists none") {
    f.lists_progress = false;
    f.Begin(6, {1.0});
  }
  f.Play(std::chrono::seconds(4));
  f.Run(std::chrono::seconds(2));
  CHECK(f.Stuck() == 0);
  job_key job = f.Submit(1, milliseconds(100), milliseconds(100));
  f.lengths[{job, 0, {}}] = std::chrono::hours(1);
  for (auto& [id, upstream] : f.fleet.upstreams)
    upstream->hangs = [&](const task_name& task) { return task.job == job; };
  // The bound is that of a fixed multiple of the estimate.
  CHECK(ToMilliseconds(f.UntilStopped(std::chrono::seconds(2))) <=
        350 + 50 + 10);
  for (auto& [id, upstream] : f.fleet.upstreams)
    upstream->hangs = nullptr;
  f.lengths.erase({job, 0, {}});
  f.Run(std::chrono::seconds(1));
  CHECK(f.Count(task_verdict::kDone) == f.submitted_tasks);
}

TEST_CASE("stuck_runs: a hung run in a queue without estimates is stopped") {
  // Guards against hung runs going undetected when callers give no estimate.
  stuck_home f;
  f.Begin(6, {0.6, 1.0, 1.6});
  for (int i = 0; i < 100; ++i) {
    f.Submit(2, milliseconds(100), duration::zero());
    f.Run(milliseconds(60));
  }
  f.Run(std::chrono::seconds(1));
  CHECK(f.Stuck() == 0);
  job_key job = f.Submit(1, milliseconds(100), duration::zero());
  for (auto& [id, upstream] : f.fleet.upstreams)
    upstream->hangs = [&](const task_name& task) { return task.job == job; };
  CHECK(ToMilliseconds(f.UntilStopped(std::chrono::seconds(2))) < 500);
}

TEST_CASE("stuck_runs: a whole upstream hangs") {
  // The upstream passes its health checks and starts tasks, but no run ends.
  stuck_home f;
  f.Begin(6, {0.6, 1.0, 1.6});
  f.Play(std::chrono::seconds(3));
  fake_upstream& hung = f.At(1);
  hung.hangs = [](const task_name&) { return true; };
  f.Play(std::chrono::seconds(3));
  size_t touched = hung.starts.size();
  // Two tasks hang, then single trials.
  CHECK(f.Stuck() >= 1);
  CHECK(f.Stuck() <= 6);
  CHECK(f.Stuck(stuck_evidence::kProgress) == f.Stuck());
  hung.hangs = nullptr;
  // When no other upstream has room, the upstream gets a trial and becomes good
  // again.
  for (int i = 0; i < 20; ++i) {
    for (int j = 0; j < 8; ++j)
      f.Submit(2, milliseconds(100), milliseconds(100), milliseconds(900));
    f.Run(milliseconds(500));
  }
  CHECK(hung.starts.size() > touched + 10);
  CHECK(f.Count(task_verdict::kDone) == f.submitted_tasks);
}

TEST_CASE("stuck_runs: all upstreams of one kind are slow at once") {
  // Guards against a home that takes all of its upstreams out of use.
  stuck_home f;
  f.Begin(12, {1.0});
  f.Play(std::chrono::seconds(3));
  for (auto& [id, upstream] : f.fleet.upstreams)
    upstream->speed = 0.2;
  for (int i = 0; i < 20; ++i) {
    f.Submit(2, milliseconds(100), milliseconds(100), milliseconds(600));
    f.Run(milliseconds(150));
  }
  f.Run(std::chrono::seconds(3));
  CHECK(f.Stuck() <= 2);
  CHECK(f.home.metrics().trials <= 4);
  CHECK(f.Count(task_verdict::kDone) == f.submitted_tasks);
}

TEST_CASE("stuck_runs: runs of a slowed upstream advance") {
  // Runs are started again only where that improves their job's answer.
  stuck_home f;
  f.Begin(6, {1.0});
  f.Play(std::chrono::seconds(3));
  f.Run(std::chrono::seconds(1));
  fake_upstream& slowed = f.At(2);
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
  // Enough jobs at once to use all upstreams.
  for (int i = 0; i < 4; ++i)
    f.Submit(3, milliseconds(300), milliseconds(300), objective);
  f.Run(std::chrono::seconds(4));
  CHECK((f.Stuck() > 0) == pays);
  CHECK(f.Stuck() <= 3);
  CHECK(f.Count(task_verdict::kDone) == f.submitted_tasks);
  CHECK(f.home.metrics().done == static_cast<uint64_t>(f.submitted_tasks));
}

// Guards against long runs being stopped because their queue was fast so far.
TEST_CASE("stuck_runs: a long run in a queue of short ones goes on") {
  stuck_home f;
  f.Begin(6, {1.0});
  duration guess;
  SUBCASE("the caller expects it to be long") {
    guess = milliseconds(3600);
  }
  SUBCASE("the caller expects a short one") {
    guess = milliseconds(100);
  }
  SUBCASE("callers give no estimates") {
    guess = duration::zero();
  }
  for (int i = 0; i < 100; ++i) {
    f.Submit(2, milliseconds(100),
             std::min(guess, duration(milliseconds(100))));
    f.Run(milliseconds(60));
  }
  f.Run(std::chrono::seconds(1));
  f.Submit(1, milliseconds(3600), guess, std::chrono::seconds(30));
  f.Run(std::chrono::seconds(5));
  CHECK(f.Stuck() == 0);
  CHECK(f.Count(task_verdict::kDone) == f.submitted_tasks);
}

// Guards against a task whose every run is stopped because it advances slowly.
TEST_CASE("stuck_runs: a task of a hundred times the usual length is done") {
  stuck_home f;
  f.Begin(6, {1.0});
  for (int i = 0; i < 100; ++i) {
    f.Submit(2, milliseconds(100), milliseconds(100));
    f.Run(milliseconds(60));
  }
  f.Run(std::chrono::seconds(1));
  f.Submit(1, std::chrono::seconds(10), milliseconds(100),
           std::chrono::seconds(30));
  f.Run(std::chrono::seconds(29));
  CHECK(f.Count(task_verdict::kDone) == f.submitted_tasks);
}

// Guards against jobs that fail in a drained failure domain: a run that took
// longer than its caller expected was stopped and could not start again.
TEST_CASE("stuck_runs: a long run in a drained failure domain goes on") {
  home_fixture f;
  f.fleet.Add("u1", "north").plan = [](const task_name&) {
    return std::pair<duration, run_end>(milliseconds(400), run_end::kDone);
  };
  f.Begin();
  f.home.OnRequest(kOwner, f.Request(1, Demand()));
  f.clock.Advance(milliseconds(10));
  f.home.SetDomainState(domain_state::kDrained);
  f.clock.Advance(milliseconds(600));
  REQUIRE(f.reports.size() == 1);
  CHECK(f.Count(task_verdict::kDone) == 1);
}

// Guards against waiting for a hung run by the longer bounds of slow ones.
TEST_CASE("stuck_runs: a run that hangs after an even start is stopped") {
  run_observation run = Observation(2000, 100, 360);
  run.began = milliseconds(10);
  SUBCASE("at its usual pace") {
    List(run, 50, 60, 110);
    run.since_listed = duration::zero();
    CHECK(JudgeRun(run).condition == run_condition::kStuck);
  }
  SUBCASE("at a hundredth of it") {
    List(run, 4, 410, 420);
    run.since_listed = duration::zero();
    CHECK(JudgeRun(run).condition != run_condition::kStuck);
    List(run, 4, 410, 720);
    run.since_listed = duration::zero();
    CHECK(JudgeRun(run).condition == run_condition::kStuck);
  }
  SUBCASE("from its start, after another run of the task stood still") {
    run.stalls = 1;
    List(run, 0, 10, 100);
    run.since_listed = duration::zero();
    CHECK(JudgeRun(run).condition != run_condition::kStuck);
    List(run, 0, 10, 130);
    run.since_listed = duration::zero();
    CHECK(JudgeRun(run).condition == run_condition::kStuck);
  }
}

}  // namespace jasminedyke
