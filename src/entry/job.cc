#include "entry/job.h"

namespace jasminedyke {

int64_t job_spec::payload_bytes() const {
  int64_t bytes = 0;
  for (const task_spec& task : tasks)
    bytes += static_cast<int64_t>(task.payload.size());
  return bytes;
}

const char* ToString(failure_reason reason) {
  switch (reason) {
    case failure_reason::kTaskFailed:
      return "task_failed";
    case failure_reason::kOutcomeUnknown:
      return "outcome_unknown";
    case failure_reason::kTimeout:
      return "timeout";
    case failure_reason::kCancelled:
      return "cancelled";
    case failure_reason::kLost:
      return "lost";
  }
  return "outcome_unknown";
}

const char* ToString(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kNoUpstreamFits:
      return "no_upstream_fits";
    case refusal_reason::kQueueFull:
      return "queue_full";
    case refusal_reason::kOverloaded:
      return "overloaded";
    case refusal_reason::kWouldTimeOut:
      return "would_time_out";
    case refusal_reason::kStopping:
      return "stopping";
  }
  return "overloaded";
}

}  // namespace jasminedyke
