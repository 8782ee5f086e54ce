// Latency quantiles by queue, for a bounded number of queues.

#ifndef SRC_RUNS_QUEUE_LATENCY_H_
#define SRC_RUNS_QUEUE_LATENCY_H_

#include <map>

#include "base/base.h"
#include "runs/run_types.h"

namespace jasminedyke {

using latency_by_queue = std::map<queue_id, windowed_quantiles>;

// Records a latency of the queue. Queues beyond the first few dozen share the
// entry "other", which bounds memory and the size of the metrics page when
// thousands of queues are configured.
void RecordLatency(latency_by_queue& latencies,
                   const queue_id& queue,
                   duration latency,
                   time_point now);

}  // namespace jasminedyke

#endif  // SRC_RUNS_QUEUE_LATENCY_H_
