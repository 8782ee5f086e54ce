#include "policy/admission.h"

#include <algorithm>

namespace jasminedyke {

namespace {

// A wait of so many targets is a miss by far.
constexpr double kFarBeyondTarget = 2;
// Estimates are rough; waits below this are never a reason to refuse.
constexpr duration kShortWait = std::chrono::milliseconds(300);
// A job never counts on less than this part of the slots.
constexpr double kLeastShare = 0.2;
constexpr duration kShortestRetryAfter = std::chrono::seconds(1);
constexpr duration kLongestRetryAfter = std::chrono::seconds(60);

duration RetryAfter(duration excess) {
  return std::clamp(excess, kShortestRetryAfter, kLongestRetryAfter);
}

// How much later the job ends than on idle upstreams.
duration ExpectedWait(const admission_facts& facts) {
  double left = std::max(facts.usable_slots - facts.slots_taken_before,
                         facts.usable_slots * kLeastShare);
  double own_work = ToSeconds(facts.own_work);
  double all_work = ToSeconds(facts.work_ahead) + own_work;
  return FromSeconds(all_work / left - own_work / facts.usable_slots);
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

  duration wait = ExpectedWait(facts);
  duration tolerated = std::max(
      FromSeconds(ToSeconds(facts.target) * kFarBeyondTarget), kShortWait);
  if (wait > tolerated)
    return {admission_verdict::kWouldMissTarget, RetryAfter(wait - tolerated)};
  if (wait > kShortWait && wait > facts.timeout)
    return {admission_verdict::kWouldTimeOut, RetryAfter(wait - facts.timeout)};
  return {admission_verdict::kAdmit, duration::zero()};
}

}  // namespace jasminedyke
