#include "runs/run_times.h"

#include <algorithm>
#include <string>

namespace jasminedyke {

namespace {

// Ratio to the usual time from which on a run is far too slow. It exceeds the
// errors of estimates and of speeds that have not been learned yet.
constexpr double kSlowRatio = 3;
// Shorter delays are ignored, as they are caused by links and busy processes.
constexpr duration kMinSlowDelay = std::chrono::milliseconds(50);
// Lower bound of an upstream's speed relative to its kind when run times are
// expected. Otherwise hung runs of a very slow upstream would not be noticed.
constexpr double kMinSpeedOfKind = 0.5;

}  // namespace

run_expectation run_times::Expect(const home_job& job,
                                  const home_task& task) const {
  return model_.Expect(job.request.queue, task.demand().estimate,
                       job.MedianPaceExcluding(task.upstream()));
}

run_expectation run_times::ExpectOnUpstream(const home_job& job,
                                            const home_task& task) const {
  run_expectation expected = Expect(job, task);
  const upstream_session* session = upstreams_.Find(task.upstream());
  if (!session)
    return expected;
  const upstream_info& ran_on = session->info();
  const home_speeds& speeds = upstreams_.speeds();
  double speed =
      std::max(speeds.Of(ran_on), speeds.OfKind(ran_on) * kMinSpeedOfKind);
  double slowdown = RackSlowdown(ran_on, task) / speed;
  return {Times(expected.usual, slowdown), Times(expected.longest, slowdown)};
}

double run_times::Slowness(const home_job& job,
                           const home_task& task,
                           const upstream_info& ran_on,
                           duration took) const {
  duration usual = Expect(job, task).usual;
  if (usual <= duration::zero())
    return 1;
  double usual_on_kind = ToSeconds(usual) / upstreams_.speeds().OfKind(ran_on) *
                         RackSlowdown(ran_on, task);
  return ToSeconds(took) - usual_on_kind > ToSeconds(kMinSlowDelay)
             ? ToSeconds(took) / usual_on_kind
             : 1;
}

// If most upstreams of a kind are slow, none is an outlier, and taking all of
// them out of use would leave no capacity.
bool run_times::IsKindSlow(const upstream_info& member) const {
  std::string kind = KindOf(member);
  int all = 0;
  int suspected = 0;
  for (const auto& [id, session] : upstreams_.sessions()) {
    if (session->idle() || KindOf(session->info()) != kind)
      continue;
    ++all;
    suspected += upstreams_.Standing(id).suspected_slow() ? 1 : 0;
  }
  return all > 2 && suspected * 2 > all;
}

bool run_times::AssessRun(const home_job& job,
                          const home_task& task,
                          const upstream_info& ran_on,
                          duration took,
                          time_point now) {
  double slowness = Slowness(job, task, ran_on, took);
  if (slowness < kSlowRatio)
    return true;
  if (IsKindSlow(ran_on))
    return false;
  // All tasks of a job may be long, so they count as one piece of evidence
  // unless the job's pace is known from runs on other upstreams. A name with an
  // empty position stands for the whole job; the upstream's standing ignores a
  // name that equals the last one it was given.
  task_name evidence{job.key, 0, {}};
  bool pace_known = job.MedianPaceExcluding(ran_on.id) > 0;
  if (pace_known)
    evidence.position = task.demand().position;
  upstreams_.Standing(ran_on.id).OnSlow(
      now, evidence,
      model_.ShareAtLeast(job.request.queue, slowness, pace_known));
  return false;
}

void run_times::OnPredictedTime(const home_job& job,
                                const home_task& task,
                                duration predicted,
                                time_point now) {
  if (const upstream_session* session = upstreams_.Find(task.upstream()))
    AssessRun(job, task, session->info(), predicted, now);
}

void run_times::OnDone(home_job& job,
                       const home_task& task,
                       duration took,
                       time_point now) {
  done_.Add(job.request.priority, CoreSeconds(task.demand()));
  const upstream_session* session = upstreams_.Find(task.upstream());
  if (!session || took <= duration::zero())
    return;
  const upstream_info& ran_on = session->info();
  upstream_standing& standing = upstreams_.Standing(ran_on.id);
  if (AssessRun(job, task, ran_on, took, now))
    standing.OnDone();
  bool off_rack = RackSlowdown(ran_on, task) != 1;
  if (off_rack)
    return;
  const queue_id& queue = job.request.queue;
  duration usual = Expect(job, task).usual;
  duration at_usual_speed = Times(took, upstreams_.speeds().Of(ran_on));
  upstreams_.speeds().RecordRun(ran_on, usual, took, now);
  // Runs on a bad upstream say nothing about the length of tasks.
  if (!standing.good())
    return;
  if (job.MedianPaceExcluding(ran_on.id) > 0 && usual > duration::zero())
    model_.LearnSibling(queue, ToSeconds(at_usual_speed) / ToSeconds(usual),
                        now);
  duration reference = model_.Reference(queue, task.demand().estimate);
  if (reference > duration::zero())
    job.AddPace({ToSeconds(at_usual_speed) / ToSeconds(reference), ran_on.id});
  model_.Learn(queue, task.demand().estimate, at_usual_speed, now);
}

}  // namespace jasminedyke
