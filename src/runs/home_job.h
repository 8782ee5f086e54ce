// A job at its home: what has become of its tasks, and what is still to do.

#ifndef SRC_RUNS_HOME_JOB_H_
#define SRC_RUNS_HOME_JOB_H_

#include <map>
#include <vector>

#include "base/base.h"
#include "runs/job_order.h"
#include "runs/run_messages.h"
#include "runs/run_types.h"
#include "runs/upstream_registry.h"

namespace jasminedyke {

enum class task_phase {
  kQueued,
  // Asked of an earlier home: it waits until all upstreams are settled.
  kUnclear,
  kOrdered,  // on an upstream: starting, running or being stopped
  kDone,
};

// An end that counted as an attempt of its task.
struct failed_run {
  upstream_id upstream;
  uint64_t run = 0;
};

struct home_task {
  task_demand demand;
  task_phase phase = task_phase::kQueued;
  time_point queued_at;
  // When it was ordered first, whatever became of that.
  time_point first_ordered_at;
  // The last number that was used, 0 if none.
  uint64_t last_run = 0;
  std::vector<failed_run> failures;
  // Orders that an upstream refused as malformed.
  int rejections = 0;
  // While `kOrdered`.
  upstream_id upstream;
  time_point ordered_at;
  bool stopping = false;
  // While `kDone`.
  time_point ended_at;
  // Calls to its upstream stayed unanswered during its last run.
  bool answers_lost = false;
  // Began under an earlier home; nobody here knows when.
  bool adopted = false;
  // When its upstream was first asked how far it is; before `ordered_at` if
  // not.
  time_point progress_asked_at;
  // Runs that were stopped for their length alone.
  int overlong_stops = 0;
  // Not to be tried again where it has just failed or got stuck.
  upstream_id avoided_upstream;
};

// How long a task took at usual speed, over the caller's guess or, without one,
// what is usual in its queue.
struct task_pace {
  double pace = 0;
  upstream_id upstream;
};

struct home_job {
  job_key key;
  instance_id owner;
  run_request request;
  time_point objective;
  time_point useful_until;
  time_point limit;
  std::map<task_position, home_task> tasks;
  // Of its tasks that are done, a bounded number, by rising pace.
  std::vector<task_pace> paces;
  // A task began, or may have begun under an earlier home.
  bool ran = false;
  // Ends that its owner has not been told of yet.
  std::vector<task_report> unreported;
  // Its owner was to send a start and did not; it sends the job again or
  // cancels it.
  bool owner_gone = false;
  // Nobody waits for it; it goes when its last run has ended.
  bool cancelled = false;

  // It is done, and the owner does not know yet.
  bool IsUnreported(const home_task& task) const;
  // No task has begun or can still begin.
  bool HasNotStarted() const;
  // How long the task takes on a sound upstream, as far as is known.
  duration ExpectedDuration(const home_task& task) const;
  // 0 if none of its tasks is done.
  double MedianPace() const;
  // By what other upstreams have run.
  double MedianPaceExcluding(const upstream_id& upstream) const;
  void AddPace(const task_pace& of_task);
  // A task that waits was refused so often as malformed.
  bool IsRejected(int times) const;
  // Core-seconds of the tasks that wait for room.
  double WaitingWork() const;
  // Of one step, on one upstream.
  int OrderedTasksOn(const upstream_id& upstream, uint32_t step) const;
  scheduling_criteria Outlook() const;
};

// A job with tasks that wait for room.
struct waiting_job {
  job_rank rank;
  scheduling_criteria outlook;
  // Core-seconds of the tasks that wait.
  double work = 0;
  home_job* job = nullptr;
};

using home_job_map = std::map<job_key, home_job>;

// Of a task away from the rack of its data, at most.
constexpr double kOffRackSlowdown = 3;
// How many times as long a task may take on that upstream as near its data.
double RackSlowdown(const upstream_info& where, const home_task& task);

// Core-seconds, by the caller's guess.
double CoreSeconds(const task_demand& demand);

}  // namespace jasminedyke

#endif  // SRC_RUNS_HOME_JOB_H_
