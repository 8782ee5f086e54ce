#include "runs/admission_estimate.h"

#include <algorithm>

#include "runs/room_rate.h"

namespace jasminedyke {

duration EstimateWait(const home_load& load) {
  if (load.cores <= 0)
    return kWaitWithoutCores;
  return FromSeconds(load.work_ahead / (load.cores * room_rate::kUsableShare));
}

bool IsHopeless(const scheduling_criteria& criteria,
                duration wait,
                time_point now) {
  time_point end = now + wait + criteria.longest_task;
  return end > std::min(criteria.useful_until, criteria.limit);
}

}  // namespace jasminedyke
