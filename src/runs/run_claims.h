// Tracks runs that a home finds on its upstreams without having started them,
// and matches them with the jobs that claim them.
//
// A home looks for such runs on all its upstreams as long as it serves. After a
// takeover they belong to its predecessor, and the owners of their jobs soon
// claim them. Runs found later come from start requests that were carried out
// late, sent by this home or by an earlier home that will not return; they are
// stopped, so that no run goes on for a job that nobody waits for.

#ifndef SRC_RUNS_RUN_CLAIMS_H_
#define SRC_RUNS_RUN_CLAIMS_H_

#include <cstddef>
#include <map>
#include <optional>

#include "base/base.h"
#include "runs/home_upstreams.h"
#include "runs/run_types.h"

namespace jasminedyke {

class run_claims {
 public:
  // A found run that the job of its task takes over.
  struct claimed_run {
    upstream_id upstream;
    // The run had been told to stop before the job claimed it: the task must
    // wait until that run has ended.
    bool stopping = false;
  };

  run_claims(const scheduler& clock, const home_upstreams& upstreams)
      : clock_(clock), upstreams_(upstreams) {}

  // Starts the period in which job owners may claim found runs.
  void Begin();
  void Clear();

  // Records a run that no task of this home uses. `unwanted` means that its job
  // is at this home and doesn't need the run, so that nobody will claim it.
  void OnFound(upstream_session& session, const task_name& task, bool unwanted);
  // Records the end of any run; `has_task` tells whether its task is at this
  // home.
  void OnEnded(const upstream_id& upstream,
               const task_name& task,
               run_end how,
               bool has_task);
  // If the task's run ended before its job came to this home, returns how it
  // ended and forgets that end.
  std::optional<run_end> TakeUnclaimedEnd(const task_name& task);
  // Hands one found run of the task, if there is one, to the task's job and
  // stops the others.
  std::optional<claimed_run> Claim(const task_name& task);
  // Whether an unclaimed run of the task exists: if the task were started now,
  // it would run twice at the same time.
  bool IsFound(const task_name& task) const;

  // Stops the found runs that nobody has claimed in time.
  void StopUnclaimed();

  size_t found() const { return found_.size(); }

 private:
  struct found_run {
    bool stopping = false;
  };
  struct run_location {
    task_name task;
    upstream_id upstream;

    auto operator<=>(const run_location&) const = default;
  };
  using found_map = std::map<run_location, found_run>;

  bool MayBeClaimed() const;
  void StopRun(const run_location& location, found_run& run);

  const scheduler& clock_;
  const home_upstreams& upstreams_;
  time_point begun_;
  // Unclaimed runs, kept until they are known to have ended: a job that claims
  // one too late must wait for its end, or its task would run twice at the same
  // time. A task may have runs on several upstreams.
  found_map found_;
  // Results of runs that ended before their jobs came to this home.
  std::map<task_name, run_end> unclaimed_ends_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_RUN_CLAIMS_H_
