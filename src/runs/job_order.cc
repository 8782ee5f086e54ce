#include "runs/job_order.h"

#include <algorithm>

namespace jasminedyke {

job_rank RankJob(const scheduling_criteria& outlook, time_point now) {
  job_rank rank;
  rank.work_left = outlook.work_left;
  rank.priority = outlook.priority;
  time_point ends = now + outlook.longest_task;
  if (ends > std::min(outlook.limit, outlook.useful_until))
    rank.lateness = job_lateness::kLost;
  else if (ends > outlook.objective)
    rank.lateness = job_lateness::kLate;
  return rank;
}

}  // namespace jasminedyke
