// What a home's runs teach about those to come: how long tasks take, how fast
// upstreams are, and which of these a surprising run speaks of.

#ifndef SRC_RUNS_RUN_TIMES_H_
#define SRC_RUNS_RUN_TIMES_H_

#include "base/base.h"
#include "policy/run_time_model.h"
#include "runs/home_job.h"
#include "runs/home_upstreams.h"
#include "runs/room_rate.h"

namespace jasminedyke {

// A run's time is its task's length over its upstream's speed. Only the time is
// seen. A job's pace comes from its tasks that are done, each normalised by the
// speed of the upstream that it ran on; an upstream's speed from runs of jobs
// whose pace other upstreams' runs tell. So a slow upstream does not make a job
// look long, nor a long job an upstream slow.
class run_times {
 public:
  explicit run_times(home_upstreams& upstreams) : upstreams_(upstreams) {}

  // `task` of `job` ended done, `took` after its order.
  void OnDone(home_job& job,
              const home_task& task,
              duration took,
              time_point now);
  // Of all tasks that ended, by callers' guesses.
  const priority_work& done() const { return done_; }
  // `task` will take about `takes` in all, by its progress.
  void OnPredictedTime(const home_job& job,
                       const home_task& task,
                       duration takes,
                       time_point now);

  // On a sound upstream of usual speed, near the task's data; by what others
  // than the task's upstream have run.
  run_expectation Expect(const home_job& job, const home_task& task) const;
  // Where it is running.
  run_expectation ExpectOnUpstream(const home_job& job,
                                   const home_task& task) const;

 private:
  // Its time over what is usual on upstreams of its kind.
  double Slowness(const home_job& job,
                  const home_task& task,
                  const upstream_info& where,
                  duration took) const;
  // Judges the upstream by it; true if the run was as usual.
  bool Judge(const home_job& job,
             const home_task& task,
             const upstream_info& where,
             duration took,
             time_point now);
  bool KindIsSlow(const upstream_info& like) const;

  home_upstreams& upstreams_;
  run_time_model model_;
  priority_work done_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_RUN_TIMES_H_
