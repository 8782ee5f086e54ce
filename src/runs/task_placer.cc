#include "runs/task_placer.h"

#include <algorithm>
#include <limits>

namespace jasminedyke {

namespace {

// Allows for differences between a job's tasks, and for the delay until the
// home hears that the last task ended.
constexpr double kRunTimeMargin = 1.1;
// How many starts on one upstream may be unanswered. Each takes a connection,
// so that a job of many thousands of small tasks would use up all descriptors.
constexpr size_t kMaxUnansweredStarts = 64;
// Exceeds every slowness by racks, so that a trial is made only if no good
// upstream has room.
constexpr double kTrialSlowness = 10;

}  // namespace

bool MayRun(const upstream_session& session,
            const home_job& job,
            const home_task& task) {
  const upstream_info& info = session.info();
  if (info.service != job.request.service)
    return false;
  if (!task.demand().required_label.empty() &&
      !info.labels.contains(task.demand().required_label))
    return false;
  return task.demand().max_per_upstream == 0 ||
         job.tasks.OrderedOn(task.demand().position.step, info.id) <
             task.demand().max_per_upstream;
}

void task_placer::ListUpstreams() {
  if (listed_version_ == upstreams_.changes())
    return;
  listed_version_ = upstreams_.changes();
  listed_upstreams_.clear();
  for (const auto& [id, session] : upstreams_.sessions())
    listed_upstreams_.push_back(
        {session.get(), upstreams_.speeds().ClassOf(session->info())});
}

void task_placer::Refresh() {
  ListUpstreams();
  available_.clear();
  classes_.clear();
  last_job_ = nullptr;
  largest_free_cpu_millis_ = 0;
  for (const auto& [session, speed_class] : listed_upstreams_) {
    if (!session->usable())
      continue;
    resource_amount room = session->room();
    bool good = upstreams_.IsGood(session->info().id);
    if (good) {
      class_capacity& all = classes_[speed_class];
      all.free_cpu_millis += std::max<int64_t>(room.cpu_millis, 0);
      all.total_cpu_millis += session->info().capacity.cpu_millis;
    }
    size_t unanswered = session->unconfirmed_starts();
    if (room.cpu_millis <= 0 || session->IsLeaseCut() ||
        unanswered >= kMaxUnansweredStarts)
      continue;
    available_.push_back(
        {session, room, kMaxUnansweredStarts - unanswered, good, speed_class});
    largest_free_cpu_millis_ =
        std::max(largest_free_cpu_millis_, room.cpu_millis);
  }
}

bool task_placer::HasPlacesFor(const home_job& job) const {
  std::map<const upstream_session*, resource_amount> taken;
  time_point end = TargetEnd(job);
  const task_demand* last = nullptr;
  // An upstream that does not suit a task does not suit later ones that ask for
  // the same.
  size_t first = 0;
  return std::ranges::all_of(job.tasks, [&](const auto& entry) {
    const home_task& task = entry.second;
    if (task.demand().need.cpu_millis > largest_free_cpu_millis_)
      return false;
    double least_speed = LeastSpeed(job, task, end);
    if (!last || !AskForSame(*last, task.demand()))
      first = 0;
    last = &task.demand();
    for (; first < available_.size(); ++first) {
      const available_upstream& open = available_[first];
      if (!open.good || !task.demand().need.Fits(open.room) ||
          !MayRun(*open.session, job, task) ||
          WaitsForFaster(task, open.speed_class, least_speed))
        continue;
      resource_amount& used = taken[open.session];
      if (!task.demand().need.Fits(open.room - used))
        continue;
      used += task.demand().need;
      return true;
    }
    return false;
  });
}

bool task_placer::MayTry(const available_upstream& open) {
  return open.good ||
         (open.session->idle() &&
          upstreams_.Standing(open.session->info().id).MayTry(clock_.now()));
}

bool task_placer::MayRunOffRack(const home_job& job,
                                const home_task& task) const {
  duration near_data = job.ExpectedDuration(task);
  duration off_rack = Times(near_data, kOffRackSlowdown);
  time_point now = clock_.now();
  return now + off_rack <= job.objective || now + near_data > job.objective;
}

double task_placer::class_capacity::free_share() const {
  return total_cpu_millis == 0 ? 0
                               : static_cast<double>(free_cpu_millis) /
                                     static_cast<double>(total_cpu_millis);
}

// If a running task will end after the objective, the others need not end
// earlier than that task.
time_point task_placer::TargetEnd(const home_job& job) const {
  time_point end = job.objective;
  if (job.tasks.Count(task_phase::kOrdered) == 0)
    return end;
  for (const auto& [position, other] : job.tasks) {
    if (other.phase() != task_phase::kOrdered || other.adopted)
      continue;
    const upstream_session* session = upstreams_.Find(other.upstream());
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
  constexpr double kUnattainable = std::numeric_limits<double>::infinity();
  duration left = end - clock_.now();
  if (left <= duration::zero() || classes_.empty())
    return kUnattainable;
  double least =
      ToSeconds(job.ExpectedDuration(task)) * kRunTimeMargin / ToSeconds(left);
  return least > SpeedOfClass(classes_.rbegin()->first) ? kUnattainable : least;
}

// Only tasks that may run on any upstream wait: a faster one may lack the label
// or be far from the data.
bool task_placer::WaitsForFaster(const home_task& task,
                                 int speed_class,
                                 double least_speed) const {
  return rule_ == placement_rule::kLeastSlack &&
         least_speed < std::numeric_limits<double>::infinity() &&
         SpeedOfClass(speed_class) < least_speed &&
         task.demand().rack.empty() && task.demand().required_label.empty();
}

void task_placer::Take(available_upstream& open, const resource_amount& need) {
  open.room -= need;
  --open.starts_left;
  if (open.good)
    classes_[open.speed_class].free_cpu_millis -= need.cpu_millis;
}

upstream_session* task_placer::Place(const home_job& job,
                                     const home_task& task) {
  if (task.demand().need.cpu_millis > largest_free_cpu_millis_)
    return nullptr;
  std::vector<placement_candidate> candidates;
  std::vector<available_upstream*> available;
  bool may_run_off_rack = MayRunOffRack(job, task);
  for (available_upstream& open : available_) {
    const upstream_session& session = *open.session;
    if (open.starts_left == 0 || !task.demand().need.Fits(open.room) ||
        !MayRun(session, job, task) ||
        session.info().id == task.avoided_upstream)
      continue;
    double slowness = RackSlowdown(session.info(), task);
    // A task waits for room near its data unless it ends in time elsewhere too,
    // or is late anyway.
    if ((slowness > 1 && !may_run_off_rack) || !MayTry(open))
      continue;
    candidates.push_back({open.room, open.good ? slowness : kTrialSlowness,
                          open.speed_class,
                          classes_[open.speed_class].free_share()});
    available.push_back(&open);
  }
  if (&job != last_job_) {
    last_job_ = &job;
    last_job_end_ = TargetEnd(job);
  }
  double least_speed = LeastSpeed(job, task, last_job_end_);
  auto chosen =
      ChooseUpstream(candidates, {task.demand().need, least_speed}, rule_);
  if (!chosen ||
      WaitsForFaster(task, candidates[*chosen].speed_class, least_speed))
    return nullptr;
  Take(*available[*chosen], task.demand().need);
  return available[*chosen]->session;
}

upstream_session* task_placer::PlaceOn(const upstream_id& upstream,
                                       const home_job& job,
                                       const home_task& task) {
  auto open = std::ranges::find_if(available_,
                                   [&upstream](const available_upstream& each) {
                                     return each.session->info().id == upstream;
                                   });
  if (open == available_.end() || open->starts_left == 0 ||
      !task.demand().need.Fits(open->room) ||
      !MayRun(*open->session, job, task))
    return nullptr;
  Take(*open, task.demand().need);
  return open->session;
}

upstream_session* task_placer::PlaceAlone(const home_job& job,
                                          const home_task& task) {
  auto chosen =
      std::ranges::find_if(available_, [&](const available_upstream& open) {
        return open.good && open.session->idle() && open.starts_left > 0 &&
               task.demand().need.Fits(open.room) &&
               MayRun(*open.session, job, task);
      });
  if (chosen == available_.end())
    return nullptr;
  Take(*chosen, chosen->room);
  return chosen->session;
}

}  // namespace jasminedyke
