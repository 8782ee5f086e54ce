// What the dispatcher counts.

#ifndef SRC_ENTRY_DISPATCH_METRICS_H_
#define SRC_ENTRY_DISPATCH_METRICS_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/base.h"
#include "entry/job.h"

namespace jasminedyke {

// Messages to upstreams that produced nothing for a caller.
enum class waste_kind {
  kRefusedStart,    // the upstream refused the task as not run
  kUnreachable,     // no connection came about
  kUnknownOutcome,  // the task's outcome is unknown
  kTaskError,       // the task failed
  kAnswerUnwanted,  // the job was over before the answer came
  kStopMessage,     // a running task was asked to stop
};

const char* ToString(waste_kind kind);

// Response times of one class.
struct class_times {
  class_times();

  windowed_quantiles response_ms;
  // Response time over the class's target.
  windowed_quantiles over_target;
  uint64_t within_target = 0;
  uint64_t complete = 0;
};

struct dispatch_metrics {
  uint64_t jobs_admitted = 0;
  uint64_t jobs_complete = 0;
  uint64_t first_attempts = 0;
  uint64_t answers = 0;
  std::map<refusal_reason, uint64_t> refusals;
  std::map<failure_reason, uint64_t> failures;
  std::map<not_run_reason, uint64_t> retries;
  uint64_t repeats = 0;  // of requests that may run more than once
  uint64_t retry_budget_spent = 0;
  std::map<unknown_reason, uint64_t> unknown_outcomes;
  std::map<waste_kind, uint64_t> wasted;
  std::map<class_id, class_times> times;
};

const char* ToString(not_run_reason reason);
const char* ToString(unknown_reason reason);

}  // namespace jasminedyke

#endif  // SRC_ENTRY_DISPATCH_METRICS_H_
