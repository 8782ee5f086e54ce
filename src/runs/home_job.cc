#include "runs/home_job.h"

#include <algorithm>

namespace jasminedyke {

namespace {

// Enough for a median that single tasks don't move.
constexpr size_t kMaxPaces = 9;
// Core-seconds; of a task whose caller has no guess.
constexpr double kLeastWork = 0.001;

}  // namespace

double RackSlowdown(const upstream_info& where, const home_task& task) {
  bool near = task.demand.rack.empty() || where.rack == task.demand.rack;
  return near ? 1 : kOffRackSlowdown;
}

double CoreSeconds(const task_demand& demand) {
  return static_cast<double>(demand.need.cpu_millis) / 1000 *
         ToSeconds(demand.estimate);
}

bool home_job::IsUnreported(const home_task& task) const {
  return std::ranges::find(unreported, task.demand.position,
                           &task_report::position) != unreported.end();
}

bool home_job::HasNotStarted() const {
  return !ran && std::ranges::none_of(tasks, [](const auto& entry) {
    return entry.second.phase == task_phase::kOrdered;
  });
}

bool home_job::IsRejected(int times) const {
  return std::ranges::any_of(tasks, [times](const auto& entry) {
    return entry.second.phase == task_phase::kQueued &&
           entry.second.rejections >= times;
  });
}

duration home_job::ExpectedDuration(const home_task& task) const {
  double pace = MedianPace();
  if (pace == 0)
    return task.demand.estimate;
  return Times(task.demand.estimate, pace);
}

double home_job::MedianPace() const {
  return MedianPaceExcluding({});
}

// The lower median: one task that is long, or ran where everything is slow,
// does not make the job's others look long.
double home_job::MedianPaceExcluding(const upstream_id& upstream) const {
  std::vector<double> others;
  for (const task_pace& each : paces) {
    if (each.upstream != upstream)
      others.push_back(each.pace);
  }
  return others.empty() ? 0 : others[(others.size() - 1) / 2];
}

void home_job::AddPace(const task_pace& of_task) {
  if (paces.size() >= kMaxPaces || of_task.pace <= 0)
    return;
  paces.insert(
      std::ranges::upper_bound(paces, of_task.pace, {}, &task_pace::pace),
      of_task);
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

scheduling_criteria home_job::Outlook() const {
  scheduling_criteria outlook;
  outlook.objective = objective;
  outlook.useful_until = useful_until;
  outlook.limit = limit;
  outlook.priority = request.priority;
  for (const auto& [position, task] : tasks) {
    if (task.phase == task_phase::kDone)
      continue;
    outlook.longest_task =
        std::max(outlook.longest_task, ExpectedDuration(task));
    outlook.work_left += CoreSeconds(task.demand);
  }
  return outlook;
}

int home_job::OrderedTasksOn(const upstream_id& upstream, uint32_t step) const {
  return static_cast<int>(std::ranges::count_if(tasks, [&](const auto& entry) {
    const home_task& task = entry.second;
    return entry.first.step == step && task.phase == task_phase::kOrdered &&
           task.upstream == upstream;
  }));
}

}  // namespace jasminedyke
