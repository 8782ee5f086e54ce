// Estimates whether a waiting job can still finish in time for its caller.

#ifndef SRC_RUNS_ADMISSION_ESTIMATE_H_
#define SRC_RUNS_ADMISSION_ESTIMATE_H_

#include "base/base.h"
#include "runs/job_order.h"

namespace jasminedyke {

// Shortest delay after which a refused caller is asked to retry. The
// Retry-After header has a resolution of whole seconds.
constexpr duration kMinRetryAfter = std::chrono::seconds(1);
// Wait that is assumed while no upstream takes work: about how long it may take
// until one is back.
constexpr duration kWaitWithoutCores = std::chrono::seconds(1);

// The queued work and the capacity of a home.
struct home_load {
  // Core-seconds of waiting tasks that are served before the job.
  double work_ahead = 0;
  // Cores of the upstreams that take work.
  double cores = 0;
};

// Returns the expected time until the last task of a job begins that is served
// after `load.work_ahead`.
duration EstimateWait(const home_load& load);

// Returns true if the job should be refused now: if its longest task begins
// after `wait`, the job is expected to end after its `useful_until` or its
// `limit`, so its caller gains more by retrying than by waiting.
bool IsHopeless(const scheduling_criteria& criteria,
                duration wait,
                time_point now);

}  // namespace jasminedyke

#endif  // SRC_RUNS_ADMISSION_ESTIMATE_H_
