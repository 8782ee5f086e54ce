// Runs that a home finds on its upstreams without having ordered them, and the
// jobs that claim them.
//
// A home looks for such runs on all its upstreams as long as it serves. After a
// takeover they are its predecessor's, and jobs' owners soon claim them. Later
// ones are orders that were carried out late, of this home or of one that is
// gone for good; a job that nobody waits for must not go on running there.

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
  // A found run that its task's job takes over.
  struct claimed_run {
    upstream_id upstream;
    // Claimed too late: the task has to wait for its end.
    bool stopping = false;
  };

  run_claims(const scheduler& clock, const home_upstreams& upstreams)
      : clock_(clock), upstreams_(upstreams) {}

  // The home begins: there may be claims for a moment.
  void Begin();
  void Clear();

  // No task of the home takes it. `unwanted`: its job is here and has no use
  // for it, so nobody can claim it.
  void OnFound(upstream_session& session, const task_name& task, bool unwanted);
  // Of any run; `has_task` if its job is here.
  void OnEnded(const upstream_id& upstream,
               const task_name& task,
               run_end how,
               bool has_task);
  // For a task whose job has come: how it ended before, or where it runs.
  std::optional<run_end> TakeUnclaimedEnd(const task_name& task);
  std::optional<claimed_run> Claim(const task_name& task);
  // Runs somewhere unclaimed: started now it would run twice at one time.
  bool IsFound(const task_name& task) const;

  // Stops what nobody has claimed in time.
  void StopUnclaimed();

  size_t found() const { return found_.size(); }

 private:
  struct found_run {
    bool stopping = false;
  };
  struct place {
    task_name task;
    upstream_id upstream;

    auto operator<=>(const place&) const = default;
  };
  using found_map = std::map<place, found_run>;

  bool MayBeClaimed() const;
  void StopRun(const place& where, found_run& run);

  const scheduler& clock_;
  const home_upstreams& upstreams_;
  time_point begun_;
  // Until their end is certain: a job that claims one later than allowed must
  // wait for it, or its task would run twice at one time. A task may have been
  // started on several upstreams.
  found_map found_;
  // Ends listed under an earlier home for jobs that have not come yet.
  std::map<task_name, run_end> early_ends_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_RUN_CLAIMS_H_
