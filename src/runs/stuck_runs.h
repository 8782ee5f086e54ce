// Runs that don't end: which of them are stopped, to start again elsewhere.

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

// What shows that a run is stuck.
enum class stuck_evidence {
  kProgress,  // its upstream lists how far it is
  kPace,      // other tasks of its job are done
  kGuess,     // only what its caller guessed, and its queue's run times
};

const char* ToString(stuck_evidence evidence);

// A run as it looks from the home. Times count from its order.
struct run_sight {
  // By now, less what messages may have taken.
  duration took = duration::zero();
  // Where it runs.
  run_expectation expected;
  bool pace_known = false;
  // Nobody here knows when it began; `took` counts from when it was found.
  bool adopted = false;
  // As listed: how far, when it was known to run, when first so far, and when
  // last seen so.
  std::optional<int> percent;
  duration began = duration::zero();
  duration reached = duration::zero();
  duration listed = duration::zero();
  duration since_listed = duration::zero();
  // Its upstream was asked long enough ago to have answered.
  bool asked = false;
};

enum class run_condition {
  kSound,
  kAdvancing,  // and its end can be foretold
  kStuck,
};

struct run_judgement {
  run_condition state = run_condition::kSound;
  stuck_evidence evidence = stuck_evidence::kGuess;
  // Of `kAdvancing`: in all.
  duration takes = duration::zero();
  // Its upstream should be asked how far it is.
  bool ask = false;
};

// Progress goes before any expectation: a run that advances is not stuck,
// however long it is, and one that stands still is, however short.
run_judgement JudgeRun(const run_sight& sight);

// What a job gets from its answer at that time: less is better.
int WorthOf(const home_job& job, time_point answered);

// Answers upstreams that hang or crawl while their health is good, among
// upstreams of several speeds and tasks of uneven lengths: a hung run holds its
// job until the caller leaves, but stopping a sound one throws work away and
// makes its job later than waiting would. So a run is stopped only where
// starting it again is worth more to the job: it stands still; or it is far
// beyond what sound runs take and its upstream, though asked, lists no
// progress; or its upstream is known to be slow, and the foretold end is worth
// less than that of another run.
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

  // Looks at all runs. `room_wait`: what a task that starts anew would wait.
  void Check(home_job_map& jobs, const std::function<duration()>& room_wait);

 private:
  void CheckRun(home_job& job,
                home_task& task,
                const std::function<duration()>& room_wait);
  run_sight Look(const home_job& job,
                 const home_task& task,
                 const upstream_session& session) const;
  void OnAdvancing(home_job& job,
                   home_task& task,
                   upstream_session& session,
                   duration takes,
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
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_STUCK_RUNS_H_
