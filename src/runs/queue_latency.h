// Latencies by queue, with a bound on how many queues are kept apart.

#ifndef SRC_RUNS_QUEUE_LATENCY_H_
#define SRC_RUNS_QUEUE_LATENCY_H_

#include <map>

#include "base/base.h"
#include "runs/run_types.h"

namespace jasminedyke {

using latency_by_queue = std::map<queue_id, windowed_quantiles>;

// Queues beyond the first few dozen go under "other", so that operators who
// configure thousands don't fill the memory or the metrics page.
void NoteLatency(latency_by_queue& latencies,
                 const queue_id& queue,
                 duration latency,
                 time_point now);

}  // namespace jasminedyke

#endif  // SRC_RUNS_QUEUE_LATENCY_H_
