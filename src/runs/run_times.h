// Learns from the runs at a home how long tasks take and how fast upstreams
// are, and decides whether an unusual run is due to its task or to its
// upstream.

#ifndef SRC_RUNS_RUN_TIMES_H_
#define SRC_RUNS_RUN_TIMES_H_

#include "base/base.h"
#include "policy/run_time_model.h"
#include "runs/home_job.h"
#include "runs/home_upstreams.h"
#include "runs/room_rate.h"

namespace jasminedyke {

// The time of a run is the length of its task divided by the speed of its
// upstream, and only the time can be measured. A job's pace is learned from its
// finished tasks, each normalised by the speed of the upstream that ran it. An
// upstream's speed is learned from runs of jobs whose pace is known from runs
// on other upstreams. So a slow upstream does not make a job look long, nor a
// long job an upstream slow.
class run_times {
 public:
  explicit run_times(home_upstreams& upstreams) : upstreams_(upstreams) {}

  // Called when `task` of `job` has succeeded, `took` after it was ordered.
  void OnDone(home_job& job,
              const home_task& task,
              duration took,
              time_point now);
  // Returns the work of all tasks that have succeeded, by callers' estimates.
  const priority_work& done() const { return done_; }
  // Called when the progress of `task` shows that it will take about
  // `predicted` in total.
  void OnPredictedTime(const home_job& job,
                       const home_task& task,
                       duration predicted,
                       time_point now);

  // Returns the run time that is expected on a sound upstream of usual speed
  // that is near the task's data, without counting runs on the task's own
  // upstream.
  run_expectation Expect(const home_job& job, const home_task& task) const;
  // Returns the run time that is expected on the upstream that runs the task.
  run_expectation ExpectOnUpstream(const home_job& job,
                                   const home_task& task) const;

 private:
  // Returns the ratio of a run's time to the usual one on upstreams of this
  // kind, or 1 if the difference is small.
  double Slowness(const home_job& job,
                  const home_task& task,
                  const upstream_info& ran_on,
                  duration took) const;
  // Returns true if the run was normal, that is, not far too slow. Otherwise
  // counts the run against its upstream, unless the upstream's kind is slow.
  bool AssessRun(const home_job& job,
                 const home_task& task,
                 const upstream_info& ran_on,
                 duration took,
                 time_point now);
  // Returns true if most upstreams of the kind of `member` are suspected
  // to be slow.
  bool IsKindSlow(const upstream_info& member) const;

  home_upstreams& upstreams_;
  run_time_model model_;
  priority_work done_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_RUN_TIMES_H_
