#include "runs/queue_latency.h"

namespace jasminedyke {

namespace {

constexpr size_t kMaxSeparateQueues = 40;
// Four times the usual scrape interval of metrics.
constexpr duration kQuantileWindow = std::chrono::seconds(60);

}  // namespace

void RecordLatency(latency_by_queue& latencies,
                   const queue_id& queue,
                   duration latency,
                   time_point now) {
  auto found = latencies.find(queue);
  if (found == latencies.end()) {
    bool full = latencies.size() >= kMaxSeparateQueues;
    found = latencies
                .try_emplace(full ? queue_id("other") : queue,
                             windowed_quantiles(kQuantileWindow))
                .first;
  }
  found->second.Add(ToSeconds(latency), now);
}

}  // namespace jasminedyke
