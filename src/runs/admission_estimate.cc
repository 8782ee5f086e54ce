#include "runs/admission_estimate.h"

#include <algorithm>

#include "runs/room_rate.h"

namespace jasminedyke {

duration EstimateWait(const home_load& load) {
  if (load.cores <= 0)
    return kWaitWithoutCores;
  return FromSeconds(load.work_ahead / (load.cores * room_rate::kUsableShare));
}

bool IsHopeless(const scheduling_criteria& outlook,
                duration wait,
                time_point now) {
  time_point ends = now + wait + outlook.longest_task;
  return ends > std::min(outlook.useful_until, outlook.limit);
}

}  // namespace jasminedyke
