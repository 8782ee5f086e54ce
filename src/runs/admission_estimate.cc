#include "runs/admission_estimate.h"

#include <algorithm>

#include "runs/room_rate.h"

namespace jasminedyke {

namespace {

// Beyond all limits of callers, and far enough from the type's bounds for sums.
constexpr duration kLongestWait = std::chrono::hours(24 * 365);

}  // namespace

duration EstimateWait(const home_load& load) {
  if (load.cores <= 0)
    return kWaitWithoutCores;
  double seconds = load.work_ahead / (load.cores * room_rate::kUsableShare);
  return FromSeconds(std::min(seconds, ToSeconds(kLongestWait)));
}

bool IsHopeless(const scheduling_criteria& criteria,
                duration wait,
                time_point now) {
  time_point end = now + wait + criteria.longest_task;
  return end > std::min(criteria.useful_until, criteria.limit);
}

}  // namespace jasminedyke
