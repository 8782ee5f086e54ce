#include "runs/home_tasks.h"

#include <algorithm>

namespace jasminedyke {

namespace {

// The work assumed for a task whose caller gave no estimate of its run time.
constexpr double kMinTaskCoreSeconds = 0.001;

double CoreSecondsOf(int64_t cpu_millis, duration estimate) {
  return static_cast<double>(cpu_millis) / 1000 * ToSeconds(estimate);
}

}  // namespace

double CoreSeconds(const task_demand& demand) {
  return CoreSecondsOf(demand.need.cpu_millis, demand.estimate);
}

bool AskForSame(const task_demand& a, const task_demand& b) {
  return a.position.step == b.position.step && a.need == b.need &&
         a.estimate == b.estimate && a.rack == b.rack &&
         a.required_label == b.required_label &&
         a.max_per_upstream == b.max_per_upstream;
}

std::pair<home_task*, bool> home_tasks::TryAdd(const task_position& position) {
  auto [found, is_new] = tasks_.try_emplace(position);
  home_task& task = found->second;
  if (is_new) {
    task.demand_.position = position;
    CountIn(task);
  }
  return {&task, is_new};
}

home_task* home_tasks::Find(const task_position& position) {
  auto found = tasks_.find(position);
  return found == tasks_.end() ? nullptr : &found->second;
}

void home_tasks::SetDemand(home_task& task, const task_demand& demand) {
  Uncount(task);
  task.demand_ = demand;
  CountIn(task);
}

void home_tasks::Order(home_task& task, const upstream_id& upstream) {
  Uncount(task);
  task.phase_ = task_phase::kOrdered;
  task.upstream_ = upstream;
  CountIn(task);
}

void home_tasks::SetPhase(home_task& task, task_phase phase) {
  Uncount(task);
  task.phase_ = phase;
  CountIn(task);
}

void home_tasks::CountIn(const home_task& task) {
  const task_demand& demand = task.demand_;
  ++CountOf(task.phase_);
  if (task.phase_ == task_phase::kOrdered)
    ++ordered_[{demand.position.step, task.upstream_}];
  if (task.phase_ == task_phase::kDone)
    return;
  work_counts& work = by_work_[{demand.estimate, demand.need.cpu_millis}];
  ++work.unfinished;
  work.queued += task.phase_ == task_phase::kQueued ? 1 : 0;
}

void home_tasks::Uncount(const home_task& task) {
  const task_demand& demand = task.demand_;
  --CountOf(task.phase_);
  if (task.phase_ == task_phase::kOrdered) {
    auto on = ordered_.find({demand.position.step, task.upstream_});
    if (--on->second == 0)
      ordered_.erase(on);
  }
  if (task.phase_ == task_phase::kDone)
    return;
  auto work = by_work_.find({demand.estimate, demand.need.cpu_millis});
  work->second.queued -= task.phase_ == task_phase::kQueued ? 1 : 0;
  if (--work->second.unfinished == 0)
    by_work_.erase(work);
}

int home_tasks::OrderedOn(uint32_t step, const upstream_id& upstream) const {
  auto found = ordered_.find({step, upstream});
  return found == ordered_.end() ? 0 : found->second;
}

// A task without an estimate of its run time counts as waiting work, too, as
// only jobs with waiting work are dispatched.
double home_tasks::QueuedWork() const {
  double sum = 0;
  for (const auto& [size, counts] : by_work_) {
    double work = CoreSecondsOf(size.cpu_millis, size.estimate);
    sum += static_cast<double>(counts.queued) *
           std::max(work, kMinTaskCoreSeconds);
  }
  return sum;
}

double home_tasks::UnfinishedWork() const {
  double sum = 0;
  for (const auto& [size, counts] : by_work_)
    sum += static_cast<double>(counts.unfinished) *
           CoreSecondsOf(size.cpu_millis, size.estimate);
  return sum;
}

duration home_tasks::LongestEstimate() const {
  return by_work_.empty() ? duration::zero()
                          : by_work_.rbegin()->first.estimate;
}

}  // namespace jasminedyke
