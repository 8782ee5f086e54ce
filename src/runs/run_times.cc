#include "runs/run_times.h"

#include <algorithm>
#include <string>

namespace jasminedyke {

namespace {

// Far below its kind: beyond the errors of guesses, and of speeds that are not
// learnt yet.
constexpr double kSlow = 3;
// Shorter delays come from links and busy processes.
constexpr duration kSlowAtLeast = std::chrono::milliseconds(50);
// How far below its kind an upstream's speed stretches what counts as sound: a
// much slower one must not hide its hung runs.
constexpr double kLeastSpeedOfKind = 0.5;

}  // namespace

run_expectation run_times::Expect(const home_job& job,
                                  const home_task& task) const {
  return model_.Expect(job.request.queue, task.demand.estimate,
                       job.PaceWithout(task.upstream));
}

run_expectation run_times::ExpectOnUpstream(const home_job& job,
                                            const home_task& task) const {
  run_expectation expected = Expect(job, task);
  const upstream_session* session = upstreams_.Find(task.upstream);
  if (!session)
    return expected;
  const upstream_info& where = session->info();
  const home_speeds& speeds = upstreams_.speeds();
  double speed =
      std::max(speeds.Of(where), speeds.OfKind(where) * kLeastSpeedOfKind);
  double slowdown = RackSlowdown(where, task) / speed;
  return {Times(expected.usual, slowdown), Times(expected.longest, slowdown)};
}

double run_times::Slowness(const home_job& job,
                           const home_task& task,
                           const upstream_info& where,
                           duration took) const {
  duration usual = Expect(job, task).usual;
  if (usual <= duration::zero())
    return 1;
  double there = ToSeconds(usual) / upstreams_.speeds().OfKind(where) *
                 RackSlowdown(where, task);
  return ToSeconds(took) - there > ToSeconds(kSlowAtLeast)
             ? ToSeconds(took) / there
             : 1;
}

// While most upstreams of a kind are slow none stands out, and taking all of
// them out of use would leave no room at all.
bool run_times::KindIsSlow(const upstream_info& like) const {
  std::string kind = KindOf(like);
  int all = 0;
  int doubted = 0;
  for (const auto& [id, session] : upstreams_.sessions()) {
    if (session->idle() || KindOf(session->info()) != kind)
      continue;
    ++all;
    doubted += upstreams_.Standing(id).doubted() ? 1 : 0;
  }
  return all > 2 && doubted * 2 > all;
}

bool run_times::Judge(const home_job& job,
                      const home_task& task,
                      const upstream_info& where,
                      duration took,
                      time_point now) {
  double slowness = Slowness(job, task, where, took);
  if (slowness < kSlow)
    return true;
  if (KindIsSlow(where))
    return false;
  // Tasks of one job may all be long, unless others of it were not.
  task_name shown_by{job.key, 0, {}};
  bool pace_known = job.PaceWithout(where.id) > 0;
  if (pace_known)
    shown_by.position = task.demand.position;
  upstreams_.Standing(where.id).OnSlow(
      now, shown_by, model_.ShareFrom(job.request.queue, slowness, pace_known));
  return false;
}

void run_times::OnPredictedTime(const home_job& job,
                                const home_task& task,
                                duration takes,
                                time_point now) {
  if (const upstream_session* session = upstreams_.Find(task.upstream))
    Judge(job, task, session->info(), takes, now);
}

void run_times::OnDone(home_job& job,
                       const home_task& task,
                       duration took,
                       time_point now) {
  done_.Add(job.request.priority, CoreSeconds(task.demand));
  const upstream_session* session = upstreams_.Find(task.upstream);
  if (!session || took <= duration::zero())
    return;
  const upstream_info& where = session->info();
  upstream_standing& standing = upstreams_.Standing(where.id);
  if (Judge(job, task, where, took, now))
    standing.OnDone();
  bool off_rack = RackSlowdown(where, task) != 1;
  if (off_rack)
    return;
  const queue_id& queue = job.request.queue;
  duration usual = Expect(job, task).usual;
  duration at_usual_speed = Times(took, upstreams_.speeds().Of(where));
  upstreams_.speeds().Note(where, usual, took, now);
  // What a bad upstream does to its runs says nothing about the tasks.
  if (!standing.good())
    return;
  if (job.PaceWithout(where.id) > 0 && usual > duration::zero())
    model_.LearnSibling(queue, ToSeconds(at_usual_speed) / ToSeconds(usual),
                        now);
  duration reference = model_.Reference(queue, task.demand.estimate);
  if (reference > duration::zero())
    job.NotePace({ToSeconds(at_usual_speed) / ToSeconds(reference), where.id});
  model_.Learn(queue, task.demand.estimate, at_usual_speed, now);
}

}  // namespace jasminedyke
