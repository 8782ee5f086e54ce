#include "runs/job_order.h"

#include <algorithm>

namespace jasminedyke {

job_rank RankJob(const scheduling_criteria& criteria, time_point now) {
  job_rank rank;
  rank.remaining_work = criteria.remaining_work;
  rank.priority = criteria.priority;
  time_point expected_end = now + criteria.longest_task;
  if (expected_end > std::min(criteria.limit, criteria.useful_until))
    rank.lateness = job_lateness::kTooLate;
  else if (expected_end > criteria.objective)
    rank.lateness = job_lateness::kLate;
  return rank;
}

}  // namespace jasminedyke
