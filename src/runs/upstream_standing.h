// What an upstream's last runs say about it: whether it is slow, stuck or
// fails what it starts.

#ifndef SRC_RUNS_UPSTREAM_STANDING_H_
#define SRC_RUNS_UPSTREAM_STANDING_H_

#include "base/base.h"
#include "runs/run_types.h"

namespace jasminedyke {

// An upstream that fails everything fast is always free and would draw all
// work; one that is slow or stuck makes each job that touches it late. Health
// answers tell neither. So a bad one gets nothing but a single trial now and
// then, and is trusted again after one run that was as it should be.
//
// Slow is what several runs in a row show that are hardly chance together: a
// single long task does not make a sound upstream bad.
class upstream_standing {
 public:
  // A run ended done, in a time that is usual on upstreams of its kind.
  void OnDone();
  // A run is far slower than is usual there; `chance` of sound runs are. Each
  // `shown_by` counts once in a row.
  void OnSlow(time_point now, const task_name& shown_by, double chance);
  // A run of `job` ended failed. Failures of one job alone are the job's.
  void OnFailed(time_point now, const job_key& job);
  // A run hangs there.
  void OnStuck(time_point now);

  // Takes any work.
  bool good() const { return state_ == state::kGood; }
  // Several runs have shown it.
  bool slow() const;
  // Its last run was far slower than usual.
  bool suspected_slow() const { return doubt_ > 0; }
  // May be given one task, though it is not good.
  bool MayTry(time_point now) const { return now >= next_trial_; }
  // A trial begins.
  void OnTrial(time_point now);

 private:
  enum class state { kGood, kBad };

  void TurnBad(time_point now);

  state state_ = state::kGood;
  time_point next_trial_;
  duration trial_pause_ = duration::zero();
  // Failures in a row, of different jobs, without a success in between.
  int failures_ = 0;
  job_key last_failed_;
  // Decades of how unlikely the slow runs in a row are on a sound upstream.
  double doubt_ = 0;
  task_name last_slow_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_UPSTREAM_STANDING_H_
