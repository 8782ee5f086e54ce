#include "runs/home_job.h"

#include <algorithm>

namespace jasminedyke {

namespace {

// The number of paces kept per job: enough for a median that single tasks
// don't shift.
constexpr size_t kMaxPaces = 9;

}  // namespace

double RackSlowdown(const upstream_info& upstream, const home_task& task) {
  bool on_rack =
      task.demand().rack.empty() || upstream.rack == task.demand().rack;
  return on_rack ? 1 : kOffRackSlowdown;
}

bool home_job::HasNotStarted() const {
  return HasNoRuns() && !may_start_late;
}

bool home_job::HasNoRuns() const {
  return !may_have_run && tasks.Count(task_phase::kOrdered) == 0;
}

bool home_job::HasRejectedTask(int min_rejections) const {
  return any_rejected &&
         std::ranges::any_of(tasks, [min_rejections](const auto& entry) {
           return entry.second.phase() == task_phase::kQueued &&
                  entry.second.rejections >= min_rejections;
         });
}

duration home_job::ExpectedDuration(const home_task& task) const {
  return AtPace(task.demand().estimate);
}

duration home_job::AtPace(duration estimate) const {
  double pace = MedianPace();
  return pace == 0 ? estimate : Times(estimate, pace);
}

double home_job::MedianPace() const {
  return MedianPaceExcluding({});
}

// Uses the lower median, so that one task that is long or ran on a slow
// upstream does not raise the expected run time of the job's other tasks.
double home_job::MedianPaceExcluding(const upstream_id& upstream) const {
  std::vector<double> others;
  for (const task_pace& each : paces) {
    if (each.upstream != upstream)
      others.push_back(each.pace);
  }
  return others.empty() ? 0 : others[(others.size() - 1) / 2];
}

void home_job::AddPace(const task_pace& finished) {
  if (paces.size() >= kMaxPaces || finished.pace <= 0)
    return;
  paces.insert(
      std::ranges::upper_bound(paces, finished.pace, {}, &task_pace::pace),
      finished);
}

scheduling_criteria home_job::SchedulingCriteria() const {
  scheduling_criteria criteria;
  criteria.objective = objective;
  criteria.useful_until = useful_until;
  criteria.limit = limit;
  criteria.priority = request.priority;
  criteria.longest_task =
      std::max(duration::zero(), AtPace(tasks.LongestEstimate()));
  criteria.remaining_work = tasks.UnfinishedWork();
  return criteria;
}

}  // namespace jasminedyke
