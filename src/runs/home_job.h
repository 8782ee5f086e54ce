// The state of a job and of its tasks at their home.

#ifndef SRC_RUNS_HOME_JOB_H_
#define SRC_RUNS_HOME_JOB_H_

#include <map>
#include <optional>
#include <vector>

#include "base/base.h"
#include "runs/home_tasks.h"
#include "runs/job_order.h"
#include "runs/run_messages.h"
#include "runs/run_types.h"
#include "runs/upstream_registry.h"

namespace jasminedyke {

// The ratio of a task's run time, scaled to an upstream of usual speed, to the
// caller's estimate or, without one, to the usual run time in its queue. A
// higher pace is slower.
struct task_pace {
  double pace = 0;
  upstream_id upstream;
};

// A job whose owner may not have it any more: the link to the owner broke after
// it had sent the job, or the owner did not send a start that it was asked for.
struct orphaned_job {
  time_point since;
  // When there was a link to the owner's instance again; empty if there is
  // none.
  std::optional<time_point> linked_at;
};

struct home_job {
  job_key key;
  instance_id owner;
  // The process of the owner that sent the job; empty if that is this one.
  incarnation_id owner_incarnation;
  // Set while the owner may no longer have the job. No task of the job starts
  // meanwhile.
  std::optional<orphaned_job> orphaned;
  run_request request;
  // When the owner accepted the submission.
  time_point submitted_at;
  time_point objective;
  time_point useful_until;
  // The caller stops waiting at this time.
  time_point limit;
  // The same time by `scheduler::boot_now`.
  time_point boot_limit;
  // The latest time, by `scheduler::boot_now`, at which the owner is known to
  // have had the job. Not updated while the confirmations of the owner's link
  // count, but once the job is cancelled or orphaned.
  time_point confirmed_at = kLongAgo;
  home_tasks tasks;
  // The paces of a bounded number of finished tasks, sorted in ascending order.
  std::vector<task_pace> paces;
  // A task has begun, or may have begun under an earlier home.
  bool may_have_run = false;
  // An order for a task went unanswered and may yet be carried out, by an
  // incarnation of its upstream that has not refused it.
  bool may_start_late = false;
  // False only if upstreams have refused none of the tasks as malformed.
  bool any_rejected = false;
  // Ends of tasks that have not been reported to the owner yet. These tasks are
  // marked as `unreported`.
  std::vector<task_report> unreported;
  // Nobody waits for the job any more. It is erased once its last run has
  // ended.
  bool cancelled = false;
  // Valid only if `cancelled`.
  time_point cancelled_at;
  // It was logged that runs of the cancelled job go on.
  bool overdue_logged = false;

  // True if no task has begun and none can begin unless it is ordered from an
  // upstream again.
  bool HasNotStarted() const;
  // True if no task has begun and none is ordered from an upstream. Unlike
  // `HasNotStarted`, says nothing of orders that may arrive late.
  bool HasNoRuns() const;
  // The expected run time of the task on a healthy upstream: the caller's
  // estimate, scaled by the pace of the job's finished tasks.
  duration ExpectedDuration(const home_task& task) const;
  // The lower median of the recorded paces; 0 if there are none.
  double MedianPace() const;
  // The lower median of the paces recorded on upstreams other than `upstream`;
  // 0 if there are none.
  double MedianPaceExcluding(const upstream_id& upstream) const;
  void AddPace(const task_pace& finished);
  // True if upstreams refused a queued task as malformed at least
  // `min_rejections` times.
  bool HasRejectedTask(int min_rejections) const;
  scheduling_criteria SchedulingCriteria() const;

 private:
  // Scales a caller's estimate by the pace of the job's finished tasks.
  duration AtPace(duration estimate) const;
};

// A job with tasks that wait for room.
struct waiting_job {
  job_rank rank;
  scheduling_criteria criteria;
  // The core-seconds of the queued tasks.
  double work = 0;
  home_job* job = nullptr;
};

using home_job_map = std::map<job_key, home_job>;

// The largest factor by which a task takes longer away from the rack of its
// data.
constexpr double kOffRackSlowdown = 3;
// The factor by which the task may take longer on `upstream` than on the rack
// of its data.
double RackSlowdown(const upstream_info& upstream, const home_task& task);

}  // namespace jasminedyke

#endif  // SRC_RUNS_HOME_JOB_H_
