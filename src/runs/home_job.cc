#include "runs/home_job.h"

#include <algorithm>

namespace jasminedyke {

namespace {

// A run that takes so many times what it should is given up: the upstream hangs
// or is very slow. With a task of the same job done, the expectation is good to
// 15 %; without, only the caller's guess is known, which is off by 40 %.
constexpr double kStuckByPace = 2.5;
constexpr double kStuckByGuess = 3.5;
constexpr duration kStuckAtLeast = std::chrono::milliseconds(60);
// Core-seconds; of a task whose caller has no guess.
constexpr double kLeastWork = 0.001;

}  // namespace

double CoreSeconds(const task_demand& demand) {
  return static_cast<double>(demand.need.cpu_millis) / 1000 *
         ToSeconds(demand.estimate);
}

bool home_job::IsUnreported(const home_task& task) const {
  return std::ranges::find(unreported, task.demand.position,
                           &task_report::position) != unreported.end();
}

bool home_job::IsUntouched() const {
  return !ran && std::ranges::none_of(tasks, [](const auto& entry) {
    return entry.second.phase == task_phase::kOrdered;
  });
}

duration home_job::Expected(const home_task& task) const {
  if (pace == 0)
    return task.demand.estimate;
  return FromSeconds(ToSeconds(task.demand.estimate) * pace);
}

bool home_job::IsOverdue(const home_task& task, time_point now) const {
  duration expected = Expected(task);
  duration took = now - task.ordered_at;
  double factor = pace == 0 ? kStuckByGuess : kStuckByPace;
  return !task.adopted && expected > duration::zero() &&
         ToSeconds(took) > ToSeconds(expected) * factor &&
         took - expected > kStuckAtLeast;
}

// A task without a guess of its run time still waits.
double home_job::WaitingWork() const {
  double work = 0;
  for (const auto& [position, task] : tasks) {
    if (task.phase == task_phase::kQueued)
      work += std::max(CoreSeconds(task.demand), kLeastWork);
  }
  return work;
}

job_outlook home_job::Outlook() const {
  job_outlook outlook;
  outlook.objective = objective;
  outlook.useful_until = useful_until;
  outlook.limit = limit;
  outlook.priority = request.priority;
  for (const auto& [position, task] : tasks) {
    if (task.phase == task_phase::kDone)
      continue;
    outlook.longest_task = std::max(outlook.longest_task, Expected(task));
    outlook.work_left += CoreSeconds(task.demand);
  }
  return outlook;
}

int home_job::TasksOn(const upstream_id& upstream, uint32_t step) const {
  return static_cast<int>(std::ranges::count_if(tasks, [&](const auto& entry) {
    const home_task& task = entry.second;
    return entry.first.step == step && task.phase == task_phase::kOrdered &&
           task.upstream == upstream;
  }));
}

}  // namespace jasminedyke
