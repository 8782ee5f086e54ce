// Whether a job that waits can still be of use to its caller.

#ifndef SRC_RUNS_ADMISSION_ESTIMATE_H_
#define SRC_RUNS_ADMISSION_ESTIMATE_H_

#include "base/base.h"
#include "runs/job_order.h"

namespace jasminedyke {

// Callers come back no sooner than that; Retry-After counts whole seconds.
constexpr duration kLeastRetryAfter = std::chrono::seconds(1);
// Without any upstream that takes work, one may come back within about this.
constexpr duration kWaitWithoutCores = std::chrono::seconds(1);

// What a home has to do and to do it with.
struct home_load {
  // Core-seconds of waiting tasks that go before the job.
  double work_ahead = 0;
  // Cores of upstreams that take work.
  double cores = 0;
};

// When the job's last task would begin.
duration EstimateWait(const home_load& load);

// True if the job should be refused now: by the estimate it would end so late
// that it is likelier to run out of time than to be answered, and its caller
// gains more by coming back than by waiting.
bool IsHopeless(const scheduling_criteria& outlook,
                duration wait,
                time_point now);

}  // namespace jasminedyke

#endif  // SRC_RUNS_ADMISSION_ESTIMATE_H_
