// Tests of the counts of a job's tasks at its home, and of what questions about
// a large job cost.

#include <algorithm>
#include <random>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/session_fixture.h"

namespace jasminedyke {

namespace {

task_demand DemandOf(uint32_t step, uint32_t index) {
  task_demand demand;
  demand.position = {step, index};
  demand.need = {1000 * (step + 1), 0, 0};
  demand.estimate = std::chrono::milliseconds(100 * (1 + index % 2));
  demand.max_per_upstream = 1;
  return demand;
}

home_task& Add(home_tasks& tasks, const task_demand& demand) {
  home_task& task = *tasks.TryAdd(demand.position).first;
  tasks.SetDemand(task, demand);
  return task;
}

int RecountOn(const home_tasks& tasks,
              uint32_t step,
              const upstream_id& upstream) {
  return static_cast<int>(std::ranges::count_if(tasks, [&](const auto& entry) {
    return entry.first.step == step &&
           entry.second.phase() == task_phase::kOrdered &&
           entry.second.upstream() == upstream;
  }));
}

size_t Recount(const home_tasks& tasks, task_phase phase) {
  return static_cast<size_t>(std::ranges::count_if(
      tasks, [&](const auto& entry) { return entry.second.phase() == phase; }));
}

// One upstream, and a job whose tasks exclude each other there.
struct large_job_fixture : session_fixture {
  explicit large_job_fixture(uint32_t size) {
    Open();
    job.request.service = Info().service;
    job.objective = clock.now() + std::chrono::seconds(60);
    for (uint32_t i = 0; i < size; ++i)
      Add(job.tasks, DemandOf(0, i));
    upstreams.Add(std::move(session));
    placer.Refresh();
    before = job.tasks.walks();
  }

  uint64_t Walks() const { return job.tasks.walks() - before; }

  home_job job;
  home_upstreams upstreams;
  task_placer placer{clock, upstreams};
  uint64_t before = 0;
};

constexpr uint32_t kLarge = 500;

}  // namespace

// Guards against counts that drift from the tasks: too many tasks of a step on
// one upstream, or a job that is never over.
TEST_CASE("home_tasks: the counts equal a recount under random orders") {
  const std::vector<upstream_id> upstreams = {upstream_id("u1"),
                                              upstream_id("u2")};
  for (uint32_t seed = 0; seed < 20; ++seed) {
    std::mt19937 random(seed);
    home_tasks tasks;
    for (int change = 0; change < 300; ++change) {
      home_task& task = Add(tasks, DemandOf(random() % 2, random() % 10));
      auto phase = static_cast<task_phase>(random() % 4);
      if (phase == task_phase::kOrdered)
        tasks.Order(task, upstreams[random() % 2]);
      else
        tasks.SetPhase(task, phase);
      if (random() % 8 == 0) {
        task_demand other = task.demand();
        other.need.cpu_millis += 500;
        tasks.SetDemand(task, other);
      }
      for (uint32_t step : {0u, 1u}) {
        for (const upstream_id& each : upstreams)
          REQUIRE(tasks.OrderedOn(step, each) == RecountOn(tasks, step, each));
      }
      for (task_phase each : {task_phase::kQueued, task_phase::kMaybeStarted,
                              task_phase::kOrdered, task_phase::kDone})
        REQUIRE(tasks.Count(each) == Recount(tasks, each));
      REQUIRE(tasks.AllDone() ==
              (Recount(tasks, task_phase::kDone) == tasks.size()));
    }
  }
}

// Guards against a wrong order of waiting jobs and wrong estimates of the wait.
TEST_CASE("home_tasks: the work equals a sum over the tasks") {
  for (uint32_t seed = 0; seed < 20; ++seed) {
    std::mt19937 random(seed);
    home_tasks tasks;
    for (int change = 0; change < 200; ++change) {
      home_task& task = Add(tasks, DemandOf(random() % 3, random() % 10));
      auto phase = static_cast<task_phase>(random() % 4);
      if (phase == task_phase::kOrdered)
        tasks.Order(task, upstream_id("u1"));
      else
        tasks.SetPhase(task, phase);
      double queued = 0;
      double unfinished = 0;
      duration longest = duration::zero();
      for (const auto& [position, each] : tasks) {
        double work = CoreSeconds(each.demand());
        if (each.phase() == task_phase::kQueued)
          queued += work;
        if (each.phase() == task_phase::kDone)
          continue;
        unfinished += work;
        longest = std::max(longest, each.demand().estimate);
      }
      REQUIRE(tasks.QueuedWork() == doctest::Approx(queued));
      REQUIRE(tasks.UnfinishedWork() == doctest::Approx(unfinished));
      REQUIRE(tasks.LongestEstimate() == longest);
    }
  }
}

// Guards against jobs that never leave the queue as their caller estimates
// nothing.
TEST_CASE("home_tasks: tasks without an estimate are waiting work") {
  home_tasks tasks;
  Add(tasks, {});
  CHECK(tasks.QueuedWork() > 0);
  CHECK(tasks.UnfinishedWork() == 0);
}

// Guards against a home that answers nothing for seconds: it walked over all
// tasks of a large job for each of them.
TEST_CASE("home_upstreams: whether a large job could run takes one walk") {
  large_job_fixture f(kLarge);
  CHECK(f.upstreams.CouldEverRun(f.job));
  CHECK(f.Walks() <= 1);
}

// Guards against the same where tasks are placed.
TEST_CASE("task_placer: a task of a large job is placed without a walk") {
  large_job_fixture f(kLarge);
  home_task& first = *f.job.tasks.Find({0, 0});
  home_task& second = *f.job.tasks.Find({0, 1});
  CHECK(!f.placer.HasPlacesFor(f.job));
  CHECK(f.Walks() <= 1);
  upstream_session* place = f.placer.Place(f.job, first);
  REQUIRE(place);
  f.job.tasks.Order(first, place->info().id);
  CHECK(!f.placer.Place(f.job, second));
  CHECK(f.Walks() <= 2);
}

}  // namespace jasminedyke
