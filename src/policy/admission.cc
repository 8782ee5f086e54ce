#include "policy/admission.h"

#include <algorithm>

namespace jasminedyke {

namespace {

// A wait of so many targets is a miss by far.
constexpr double kFarBeyondTarget = 4;
// Estimates are rough; waits below this are never a reason to refuse.
constexpr duration kShortWait = std::chrono::seconds(1);
constexpr duration kShortestRetryAfter = std::chrono::seconds(1);
constexpr duration kLongestRetryAfter = std::chrono::seconds(60);

duration RetryAfter(duration excess) {
  return std::clamp(excess, kShortestRetryAfter, kLongestRetryAfter);
}

}  // namespace

admission_decision DecideAdmission(const admission_facts& facts,
                                   const queue_caps& caps) {
  bool upstreams_known = facts.largest_upstream_mb > 0;
  if (upstreams_known && facts.memory_mb > facts.largest_upstream_mb)
    return {admission_verdict::kNoUpstreamFits, duration::zero()};
  if (facts.queued_tasks + facts.tasks > caps.waiting_tasks)
    return {admission_verdict::kTooManyTasks, kShortestRetryAfter};
  if (facts.queued_bytes + facts.payload_bytes > caps.payload_bytes)
    return {admission_verdict::kTooManyBytes, kShortestRetryAfter};
  if (facts.usable_slots <= 0)
    return {admission_verdict::kAdmit, duration::zero()};

  duration wait = FromSeconds(ToSeconds(facts.work_ahead) / facts.usable_slots);
  duration tolerated = std::max(
      FromSeconds(ToSeconds(facts.target) * kFarBeyondTarget), kShortWait);
  if (wait > tolerated)
    return {admission_verdict::kWouldMissTarget, RetryAfter(wait - tolerated)};
  if (wait > kShortWait && wait > facts.timeout)
    return {admission_verdict::kWouldTimeOut, RetryAfter(wait - facts.timeout)};
  return {admission_verdict::kAdmit, duration::zero()};
}

}  // namespace jasminedyke
