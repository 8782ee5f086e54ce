// In which order waiting jobs get room.

#ifndef SRC_RUNS_JOB_ORDER_H_
#define SRC_RUNS_JOB_ORDER_H_

#include <compare>

#include "base/base.h"

namespace jasminedyke {

// What the order looks at.
struct scheduling_criteria {
  time_point objective;
  // An answer after that is of no use any more.
  time_point useful_until;
  // The caller leaves.
  time_point limit;
  // The longest of the tasks that are not done yet.
  duration longest_task = duration::zero();
  // Core-seconds of all tasks that are not done yet.
  double work_left = 0;
  // Of the queue, as its operators set it; 0 goes first.
  int priority = 0;
};

enum class job_lateness {
  kOnTime,  // can still meet its objective
  kLate,    // can only be answered late
  kLost,    // would end when its answer is of no use any more
};

struct job_rank {
  job_lateness lateness = job_lateness::kOnTime;
  int priority = 0;
  double work_left = 0;

  auto operator<=>(const job_rank&) const = default;
};

// Jobs that can still meet their objective go first, then those of the queue
// that its operators put first, then those with the least work left. With the
// work before the priority, urgent jobs of eight short tasks stood behind ever
// new jobs of two tasks: at 105 % load 0.55 of them were in time, and 0.85 in
// this order (tests/run_load).
job_rank RankJob(const scheduling_criteria& outlook, time_point now);

}  // namespace jasminedyke

#endif  // SRC_RUNS_JOB_ORDER_H_
