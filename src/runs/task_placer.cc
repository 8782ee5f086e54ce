#include "runs/task_placer.h"

#include <algorithm>
#include <limits>

namespace jasminedyke {

namespace {

// Tasks of a job differ, and the word of the last one takes its way.
constexpr double kMargin = 1.1;
// A trial is made only where no good upstream has room.
constexpr double kTrialCost = 10;

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
         job.OrderedTasksOn(info.id, task.demand.position.step) <
             task.demand.max_per_upstream;
}

void task_placer::ListUpstreams() {
  if (listed_ == upstreams_.changes())
    return;
  listed_ = upstreams_.changes();
  upstreams_listed_.clear();
  for (const auto& [id, session] : upstreams_.sessions())
    upstreams_listed_.push_back(
        {session.get(), upstreams_.speeds().ClassOf(session->info())});
}

void task_placer::Refresh() {
  ListUpstreams();
  open_.clear();
  classes_.clear();
  judged_ = nullptr;
  largest_cpu_ = 0;
  for (const auto& [session, speed_class] : upstreams_listed_) {
    if (!session->usable())
      continue;
    resource_amount room = session->room();
    bool good = upstreams_.IsGood(session->info().id);
    if (good) {
      class_room& all = classes_[speed_class];
      all.free_cpu_millis += std::max<int64_t>(room.cpu_millis, 0);
      all.total_cpu_millis += session->info().capacity.cpu_millis;
    }
    if (room.cpu_millis <= 0)
      continue;
    open_.push_back({session, room, good, speed_class});
    largest_cpu_ = std::max(largest_cpu_, room.cpu_millis);
  }
}

bool task_placer::HasPlacesFor(const home_job& job) const {
  std::map<const upstream_session*, resource_amount> taken;
  time_point end = WantedEnd(job);
  return std::ranges::all_of(job.tasks, [&](const auto& entry) {
    const home_task& task = entry.second;
    if (task.demand.need.cpu_millis > largest_cpu_)
      return false;
    double least_speed = LeastSpeed(job, task, end);
    for (const open_upstream& open : open_) {
      if (!open.good || !task.demand.need.Fits(open.room) ||
          !MayRun(*open.session, job, task) ||
          WaitsForFaster(task, open.speed_class, least_speed))
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
  duration near = job.ExpectedDuration(task);
  duration away = Times(near, kOffRackSlowdown);
  time_point now = clock_.now();
  return now + away <= job.objective || now + near > job.objective;
}

double task_placer::class_room::free_share() const {
  return total_cpu_millis == 0 ? 0
                               : static_cast<double>(free_cpu_millis) /
                                     static_cast<double>(total_cpu_millis);
}

// A task that runs already may end after the objective; the others need not be
// faster.
time_point task_placer::WantedEnd(const home_job& job) const {
  time_point end = job.objective;
  for (const auto& [position, other] : job.tasks) {
    if (other.phase != task_phase::kOrdered || other.adopted)
      continue;
    const upstream_session* session = upstreams_.Find(other.upstream);
    if (session)
      end = std::max(end,
                     other.ordered_at +
                         FromSeconds(ToSeconds(job.ExpectedDuration(other)) /
                                     upstreams_.speeds().Of(session->info())));
  }
  return end;
}

double task_placer::LeastSpeed(const home_job& job,
                               const home_task& task,
                               time_point end) const {
  constexpr double kNone = std::numeric_limits<double>::infinity();
  duration left = end - clock_.now();
  if (left <= duration::zero() || classes_.empty())
    return kNone;
  double least =
      ToSeconds(job.ExpectedDuration(task)) * kMargin / ToSeconds(left);
  return least > SpeedOf(classes_.rbegin()->first) ? kNone : least;
}

// Only where any upstream will do: a faster one may lack the label.
bool task_placer::WaitsForFaster(const home_task& task,
                                 int speed_class,
                                 double least_speed) const {
  return rule_ == placement_rule::kLeastSlack &&
         least_speed < std::numeric_limits<double>::infinity() &&
         SpeedOf(speed_class) < least_speed && task.demand.rack.empty() &&
         task.demand.required_label.empty();
}

void task_placer::Take(open_upstream& open, const resource_amount& need) {
  open.room -= need;
  if (open.good)
    classes_[open.speed_class].free_cpu_millis -= need.cpu_millis;
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
        session.info().id == task.avoided_upstream)
      continue;
    double slowness = RackSlowdown(session.info(), task);
    // Away from its data it waits for room near them, unless it is in time or
    // late anyway.
    if ((slowness > 1 && !pays_off_rack) || !MayTry(open))
      continue;
    candidates.push_back({open.room, open.good ? slowness : kTrialCost,
                          open.speed_class,
                          classes_[open.speed_class].free_share()});
    opens.push_back(&open);
  }
  if (&job != judged_) {
    judged_ = &job;
    judged_end_ = WantedEnd(job);
  }
  double least_speed = LeastSpeed(job, task, judged_end_);
  auto chosen =
      ChooseUpstream(candidates, {task.demand.need, least_speed}, rule_);
  if (!chosen ||
      WaitsForFaster(task, candidates[*chosen].speed_class, least_speed))
    return nullptr;
  Take(*opens[*chosen], task.demand.need);
  return opens[*chosen]->session;
}

upstream_session* task_placer::PlaceAlone(const home_job& job,
                                          const home_task& task) {
  auto chosen = std::ranges::find_if(open_, [&](const open_upstream& open) {
    return open.good && open.session->idle() &&
           task.demand.need.Fits(open.room) && MayRun(*open.session, job, task);
  });
  if (chosen == open_.end())
    return nullptr;
  Take(*chosen, chosen->room);
  return chosen->session;
}

}  // namespace jasminedyke
