#include "runs/task_placer.h"

#include <algorithm>
#include <map>

#include "runs/placement.h"

namespace jasminedyke {

namespace {

// Of a task away from the rack of its data: the platform's bound is 2 to 3.
constexpr double kOffRackSlowdown = 3;
// A trial is made only where no good upstream has room.
constexpr double kTrialCost = 10;

// Away from its data a task takes longer. It goes there only if it still ends
// in time, or is late anyway; else it waits for room near the data.
double SlownessOn(const upstream_session& session, const home_task& task) {
  bool near =
      task.demand.rack.empty() || session.info().rack == task.demand.rack;
  return near ? 1 : kOffRackSlowdown;
}

}  // namespace

bool MayRun(const upstream_session& session,
            const home_job& job,
            const home_task& task) {
  const upstream_info& info = session.info();
  if (info.service != job.request.service)
    return false;
  if (!task.demand.required_label.empty() &&
      !info.labels.contains(task.demand.required_label))
    return false;
  return task.demand.max_per_upstream == 0 ||
         job.TasksOn(info.id, task.demand.position.step) <
             task.demand.max_per_upstream;
}

void task_placer::Refresh() {
  open_.clear();
  largest_cpu_ = 0;
  for (const auto& [id, session] : upstreams_.sessions()) {
    resource_amount room = session->room();
    if (room.cpu_millis <= 0 || !session->usable())
      continue;
    open_.push_back({session.get(), room, upstreams_.IsGood(id)});
    largest_cpu_ = std::max(largest_cpu_, room.cpu_millis);
  }
}

bool task_placer::HasPlacesFor(const home_job& job) const {
  std::map<const upstream_session*, resource_amount> taken;
  return std::ranges::all_of(job.tasks, [&](const auto& entry) {
    const home_task& task = entry.second;
    if (task.demand.need.cpu_millis > largest_cpu_)
      return false;
    for (const open_upstream& open : open_) {
      if (!open.good || !task.demand.need.Fits(open.room) ||
          !MayRun(*open.session, job, task))
        continue;
      resource_amount& used = taken[open.session];
      if (!task.demand.need.Fits(open.room - used))
        continue;
      used += task.demand.need;
      return true;
    }
    return false;
  });
}

bool task_placer::MayTry(const open_upstream& open) {
  return open.good ||
         (open.session->idle() &&
          upstreams_.Standing(open.session->info().id).MayTry(clock_.now()));
}

bool task_placer::PaysOffRack(const home_job& job,
                              const home_task& task) const {
  duration near = job.Expected(task);
  duration away = FromSeconds(ToSeconds(near) * kOffRackSlowdown);
  time_point now = clock_.now();
  return now + away <= job.objective || now + near > job.objective;
}

upstream_session* task_placer::Place(const home_job& job,
                                     const home_task& task) {
  if (task.demand.need.cpu_millis > largest_cpu_)
    return nullptr;
  std::vector<placement_candidate> candidates;
  std::vector<open_upstream*> opens;
  bool pays_off_rack = PaysOffRack(job, task);
  for (open_upstream& open : open_) {
    const upstream_session& session = *open.session;
    if (!task.demand.need.Fits(open.room) || !MayRun(session, job, task) ||
        session.info().id == task.avoid)
      continue;
    double slowness = SlownessOn(session, task);
    if ((slowness > 1 && !pays_off_rack) || !MayTry(open))
      continue;
    candidates.push_back({open.room, open.good ? slowness : kTrialCost});
    opens.push_back(&open);
  }
  auto chosen = ChooseUpstream(candidates, task.demand.need);
  if (!chosen)
    return nullptr;
  open_upstream& open = *opens[*chosen];
  open.room -= task.demand.need;
  return open.session;
}

upstream_session* task_placer::PlaceAlone(const home_job& job,
                                          const home_task& task) {
  auto chosen = std::ranges::find_if(open_, [&](const open_upstream& open) {
    return open.good && open.session->idle() &&
           task.demand.need.Fits(open.room) && MayRun(*open.session, job, task);
  });
  if (chosen == open_.end())
    return nullptr;
  chosen->room = {};
  return chosen->session;
}

}  // namespace jasminedyke
