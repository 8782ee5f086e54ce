#include "runs/queue_latency.h"

namespace jasminedyke {

namespace {

constexpr size_t kMaxQueues = 40;
// As often as metrics are usually fetched, four times over.
constexpr duration kWindow = std::chrono::seconds(60);

}  // namespace

void NoteLatency(latency_by_queue& latencies,
                 const queue_id& queue,
                 duration latency,
                 time_point now) {
  auto found = latencies.find(queue);
  if (found == latencies.end()) {
    bool full = latencies.size() >= kMaxQueues;
    found = latencies
                .try_emplace(full ? queue_id("other") : queue,
                             windowed_quantiles(kWindow))
                .first;
  }
  found->second.Add(ToSeconds(latency), now);
}

}  // namespace jasminedyke
