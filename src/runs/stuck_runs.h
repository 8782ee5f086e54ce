// Detects runs that hang or crawl, and stops those that are better started
// again elsewhere.

#ifndef SRC_RUNS_STUCK_RUNS_H_
#define SRC_RUNS_STUCK_RUNS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "base/base.h"
#include "policy/run_time_model.h"
#include "runs/answer_times.h"
#include "runs/home_job.h"
#include "runs/home_upstreams.h"
#include "runs/run_times.h"

namespace jasminedyke {

// The evidence by which a run is judged to be stuck.
enum class stuck_evidence {
  kProgress,  // the progress that its upstream lists
  kPace,      // the run times of other tasks of its job
  kGuess,     // only the caller's estimate and the run times of its queue
};

const char* ToString(stuck_evidence evidence);

// What a home knows about a run. `began`, `reached` and `listed` count from the
// start request.
struct run_observation {
  // Time since the start request, less the time by which messages may have been
  // delayed.
  duration elapsed = duration::zero();
  // The run time that is expected on this upstream.
  run_expectation expected;
  // Whether runs of the same job on other upstreams show how long this run
  // should take.
  bool pace_known = false;
  // The run was started by an earlier home, so its start time is unknown;
  // `elapsed` counts from when it was found.
  bool adopted = false;
  // Progress as the upstream lists it, the time at which the run was first
  // known to run, and the times at which this percentage was first and last
  // listed.
  std::optional<int> percent;
  duration began = duration::zero();
  duration reached = duration::zero();
  duration listed = duration::zero();
  // Age of the last listing.
  duration since_listed = duration::zero();
  // The number of earlier runs of the task that were stopped because they stood
  // still.
  int stalls = 0;
  // Whether the upstream was asked for the run's progress long enough ago to
  // have answered.
  bool asked = false;
};

enum class run_condition {
  kHealthy,
  kAdvancing,  // progresses steadily enough to predict its end
  kStuck,
};

struct run_judgement {
  run_condition condition = run_condition::kHealthy;
  stuck_evidence evidence = stuck_evidence::kGuess;
  // The predicted total run time, set only for `kAdvancing`.
  duration predicted_length = duration::zero();
  // Whether to ask the upstream for the run's progress.
  bool ask_progress = false;
};

// Listed progress takes precedence over expected run times: a run that advances
// is not stuck, however long it takes, and one that makes no progress is stuck,
// however short its time so far.
run_judgement JudgeRun(const run_observation& run);

// Ranks a job's answer by its time: 0 within the objective, 1 late but still
// useful, 2 too late to be of use.
int LatenessRank(const home_job& job, time_point answered);

// Detects upstreams that hang or crawl while their health checks pass, also
// when upstreams differ in speed and tasks in length. A hung run blocks its job
// until the caller leaves, but stopping a healthy run wastes work and makes its
// job later than waiting would. A run is therefore stopped only where starting
// it again improves the job's answer: it makes no progress; or it takes far
// longer than healthy runs, and its upstream, though asked, lists no progress;
// or its upstream is known to be slow, and the predicted end ranks worse than
// the expected end of a new run.
class stuck_runs {
 public:
  using counts = std::map<stuck_evidence, uint64_t>;

  stuck_runs(scheduler& clock,
             home_upstreams& upstreams,
             run_times& times,
             const answer_times& answers,
             counts& stopped)
      : clock_(clock),
        upstreams_(upstreams),
        times_(times),
        answers_(answers),
        stopped_(stopped) {}

  // Checks all runs of the jobs. `may_restart` tells whether their tasks may
  // start again in this failure domain: if not, only runs that stand still are
  // stopped, as others may yet end well. `room_wait` returns how long a
  // restarted task would wait for room on an upstream. Each stopped run is
  // counted in the `stopped` counts by its evidence.
  void Check(home_job_map& jobs,
             bool may_restart,
             const std::function<duration()>& room_wait);

 private:
  void CheckRun(home_job& job,
                home_task& task,
                const std::function<duration()>& room_wait);
  run_observation Observe(const home_job& job,
                          const home_task& task,
                          const upstream_session& session) const;
  void OnAdvancing(home_job& job,
                   home_task& task,
                   upstream_session& session,
                   duration predicted_length,
                   const std::function<duration()>& room_wait);
  void OnStuck(home_job& job,
               home_task& task,
               upstream_session& session,
               stuck_evidence evidence);
  void Stop(home_job& job,
            home_task& task,
            upstream_session& session,
            stuck_evidence evidence);

  scheduler& clock_;
  home_upstreams& upstreams_;
  run_times& times_;
  const answer_times& answers_;
  counts& stopped_;
  bool may_restart_ = true;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_STUCK_RUNS_H_
