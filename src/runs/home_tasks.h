// The tasks of a job at its home, with counts of what they are at.

#ifndef SRC_RUNS_HOME_TASKS_H_
#define SRC_RUNS_HOME_TASKS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "base/base.h"
#include "runs/run_messages.h"
#include "runs/run_types.h"

namespace jasminedyke {

enum class task_phase {
  kQueued,
  // May have been started by an earlier home, so it waits until all upstreams
  // are settled.
  kMaybeStarted,
  // Assigned to an upstream by a start request ("order") or by adoption of a
  // run: starting, running or being stopped.
  kOrdered,
  kDone,
};

// A run that failed and counts as one of its task's attempts.
struct failed_run {
  upstream_id upstream;
  uint64_t run = 0;
};

// The core-seconds that the task needs by the caller's estimate.
double CoreSeconds(const task_demand& demand);

// True if the tasks ask for the same and may therefore run on the same
// upstreams.
bool AskForSame(const task_demand& a, const task_demand& b);

class home_task {
 public:
  const task_demand& demand() const { return demand_; }
  task_phase phase() const { return phase_; }
  // The upstream that the task was assigned to last.
  const upstream_id& upstream() const { return upstream_; }

  time_point queued_at;
  // Valid only in phase `kMaybeStarted`: when the owner sent the task here.
  time_point moved_at;
  // When the task was first assigned to an upstream, whether or not the start
  // request was carried out.
  time_point first_ordered_at;
  // The highest run number used so far; 0 if there has been no run.
  uint64_t last_run = 0;
  std::vector<failed_run> failures;
  // The number of start requests that upstreams refused as malformed.
  int rejections = 0;
  // These three are valid only in phase `kOrdered`.
  // The submission for which the current run was started.
  submission_id submission;
  // When the start of the current run was last requested or the run was
  // adopted.
  time_point ordered_at;
  bool stopping = false;
  // Valid only in phase `kDone`.
  time_point ended_at;
  // A run of the task has ended as done.
  bool succeeded = false;
  // The job's list of unreported ends has the task.
  bool unreported = false;
  // Calls to the task's upstream went unanswered during its last run.
  bool answers_lost = false;
  // The run was started by an earlier home, so its start time is not known.
  bool adopted = false;
  // When the upstream was first asked for the run's progress. A time before
  // `ordered_at` means that it has not been asked about the current run.
  time_point progress_asked_at;
  // The number of runs that were stopped only because they took too long.
  int overlong_stops = 0;
  // The number of runs that were stopped because their progress stood still.
  int stalls = 0;
  // Excluded from the next placement, as the task has just failed, got stuck or
  // been rejected there.
  upstream_id avoided_upstream;

 private:
  friend class home_tasks;

  task_demand demand_;
  task_phase phase_ = task_phase::kQueued;
  upstream_id upstream_;
};

// A job may have many thousands of tasks, so a question about one of them must
// not walk over all, nor may one that is asked at each dispatch. What is
// counted of tasks changes only here.
class home_tasks {
 public:
  using task_map = std::map<task_position, home_task>;

  // Returns the task and whether it is new; a new one is queued.
  std::pair<home_task*, bool> TryAdd(const task_position& position);
  // Returns null if there is no such task.
  home_task* Find(const task_position& position);

  // `demand` must have the task's position.
  void SetDemand(home_task& task, const task_demand& demand);
  // Assigns the task to `upstream`; the phase is then `kOrdered`.
  void Order(home_task& task, const upstream_id& upstream);
  // `phase` must not be `kOrdered`.
  void SetPhase(home_task& task, task_phase phase);

  size_t size() const { return tasks_.size(); }
  bool empty() const { return tasks_.empty(); }
  size_t Count(task_phase phase) const {
    return by_phase_[static_cast<size_t>(phase)];
  }
  bool AllDone() const { return Count(task_phase::kDone) == size(); }
  // Returns the number of the step's tasks that are ordered on `upstream`.
  int OrderedOn(uint32_t step, const upstream_id& upstream) const;
  // Returns the core-seconds of the queued tasks.
  double QueuedWork() const;
  // Returns the core-seconds of the tasks that are not done.
  double UnfinishedWork() const;
  // Returns the longest estimate of the tasks that are not done; 0 if all are.
  duration LongestEstimate() const;

  // Walks over all tasks, ordered by position.
  task_map::iterator begin() { return ++walks_, tasks_.begin(); }
  task_map::iterator end() { return tasks_.end(); }
  task_map::const_iterator begin() const { return ++walks_, tasks_.begin(); }
  task_map::const_iterator end() const { return tasks_.end(); }
  // How many walks have begun.
  uint64_t walks() const { return walks_; }

 private:
  using step_on_upstream = std::pair<uint32_t, upstream_id>;
  // What the work of a task follows from. All tasks of a step usually have the
  // same.
  struct work_size {
    duration estimate = duration::zero();
    int64_t cpu_millis = 0;

    auto operator<=>(const work_size&) const = default;
  };
  struct work_counts {
    size_t queued = 0;
    size_t unfinished = 0;
  };

  size_t& CountOf(task_phase phase) {
    return by_phase_[static_cast<size_t>(phase)];
  }
  // A task is taken out of the counts before it changes, and counted after.
  void Uncount(const home_task& task);
  void CountIn(const home_task& task);

  task_map tasks_;
  // For each phase, how many of `tasks_` are in it.
  std::array<size_t, 4> by_phase_{};
  // How many of `tasks_` are ordered, by step and upstream; has no zeros.
  std::map<step_on_upstream, int> ordered_;
  // How many of `tasks_` that are not done have this size; has none without.
  std::map<work_size, work_counts> by_work_;
  mutable uint64_t walks_ = 0;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_HOME_TASKS_H_
