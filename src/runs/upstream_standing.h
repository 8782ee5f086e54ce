// Rates an upstream by its recent runs: whether it is slow, hangs, or fails the
// tasks it starts.

#ifndef SRC_RUNS_UPSTREAM_STANDING_H_
#define SRC_RUNS_UPSTREAM_STANDING_H_

#include "base/base.h"
#include "runs/run_types.h"

namespace jasminedyke {

// An upstream that fails every task quickly is always free and would attract
// all work; one that is slow or hangs makes every job that uses it late. Health
// checks detect neither. A bad upstream therefore gets only a single trial task
// from time to time, and becomes good again after one run of normal length.
//
// An upstream counts as slow after several slow runs in a row that are unlikely
// to be chance together: a single long task does not make it bad.
class upstream_standing {
 public:
  // A run succeeded, in a time that is usual on upstreams of this kind.
  void OnDone();
  // The run of `task` takes far longer than usual on this upstream; `chance` is
  // the share, from 0 to 1, of runs on a healthy upstream that are as slow.
  // Consecutive reports of the same task count once.
  void OnSlow(time_point now, const task_name& task, double chance);
  // A run of `job` failed. Consecutive failures of one job count once, since
  // the job may be their cause.
  void OnFailed(time_point now, const job_key& job);
  // A run hangs on this upstream.
  void OnStuck(time_point now);

  // Whether the upstream accepts any task, rather than single trials.
  bool good() const { return state_ == state::kGood; }
  // Whether several runs in a row were far slower than usual.
  bool slow() const;
  // Whether any run has been far slower than usual since the last run that
  // succeeded in a usual time.
  bool suspected_slow() const { return slowness_ > 0; }
  // Whether a trial task may be placed on a bad upstream now.
  bool MayTry(time_point now) const { return now >= next_trial_; }
  // A trial task was placed.
  void OnTrial(time_point now);

 private:
  enum class state { kGood, kBad };

  void MarkBad(time_point now);

  state state_ = state::kGood;
  time_point next_trial_;
  duration trial_pause_ = duration::zero();
  // Consecutive failures of different jobs, without a success in between.
  int failures_ = 0;
  job_key last_failed_job_;
  // Sum of -log10(chance) over the consecutive slow runs: how unlikely they are
  // on a healthy upstream.
  double slowness_ = 0;
  task_name last_slow_task_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_UPSTREAM_STANDING_H_
