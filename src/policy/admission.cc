#include "policy/admission.h"

#include <algorithm>

namespace jasminedyke {

namespace {

// A job is refused if its wait exceeds its target by more than this factor.
constexpr double kMaxWaitPerTarget = 2;
// Shorter waits never cause a refusal, as the estimates are rough.
constexpr duration kAlwaysAcceptableWait = std::chrono::milliseconds(300);
// Lower bound of the fraction of slots that a job is assumed to get.
constexpr double kMinSlotShare = 0.2;
constexpr duration kMinRetryAfter = std::chrono::seconds(1);
constexpr duration kMaxRetryAfter = std::chrono::seconds(60);

duration RetryAfter(duration excess) {
  return std::clamp(excess, kMinRetryAfter, kMaxRetryAfter);
}

// Estimates how much later the job ends than it would on idle upstreams.
duration ExpectedWait(const admission_facts& facts) {
  double left = std::max(facts.usable_slots - facts.slots_used_by_better_ranks,
                         facts.usable_slots * kMinSlotShare);
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
    return {admission_verdict::kTooManyTasks, kMinRetryAfter};
  if (facts.queued_bytes + facts.payload_bytes > caps.payload_bytes)
    return {admission_verdict::kTooManyBytes, kMinRetryAfter};
  if (facts.usable_slots <= 0)
    return {admission_verdict::kAdmit, duration::zero()};

  duration wait = ExpectedWait(facts);
  duration tolerated =
      std::max(FromSeconds(ToSeconds(facts.target) * kMaxWaitPerTarget),
               kAlwaysAcceptableWait);
  if (wait > tolerated)
    return {admission_verdict::kWouldMissTarget, RetryAfter(wait - tolerated)};
  if (wait > kAlwaysAcceptableWait && wait > facts.timeout)
    return {admission_verdict::kWouldTimeOut, RetryAfter(wait - facts.timeout)};
  return {admission_verdict::kAdmit, duration::zero()};
}

}  // namespace jasminedyke
