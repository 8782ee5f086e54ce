#include "policy/upstream_health.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jasminedyke {

namespace {

constexpr int kFailuresToQuarantine = 3;
constexpr duration kFirstBackOff = std::chrono::seconds(1);
constexpr duration kMaxBackOff = std::chrono::seconds(30);
constexpr duration kTrialDelay = std::chrono::milliseconds(500);
constexpr int kMaxUnusedTrials = 6;
constexpr duration kMaxIdempotentWait = std::chrono::seconds(5);
constexpr double kSlownessWeight = 0.1;
constexpr duration kSlownessHalfLife = std::chrono::seconds(20);
// Limits the effect of a single very slow task on the moving mean.
constexpr double kMaxSlowness = 4;

// Returns 1 if the result shows that the upstream works, -1 if it shows a
// failure and 0 if it says nothing about the upstream.
int EvidenceOf(slot_result result) {
  switch (result) {
    case slot_result::kAnswered:
      return 1;
    case slot_result::kTaskError:
    case slot_result::kUnreachable:
    case slot_result::kBroken:
      return -1;
    case slot_result::kUnused:
    case slot_result::kFull:
    case slot_result::kLeaving:
    case slot_result::kStopped:
      return 0;
  }
  return 0;
}

}  // namespace

void upstream_health::Record(const released_slot& slot, time_point now) {
  health_record& record = records_[slot.upstream];
  const health_verdict old_verdict = verdict(slot.upstream, now);
  record.trial_running = false;
  // No task was available for the trial. Waits before the next one, as
  // offering the slot again at once would only cost messages.
  if (old_verdict == health_verdict::kOnTrial &&
      slot.result == slot_result::kUnused) {
    record.quarantined_until = now + kTrialDelay;
    ++record.unused_trials;
  }
  if (slot.slowness > 0) {
    double bounded = std::min(slot.slowness, kMaxSlowness);
    double old_slowness = slowness(slot.upstream, now);
    record.slowness = old_slowness + kSlownessWeight * (bounded - old_slowness);
    record.slowness_at = now;
  }
  int evidence = EvidenceOf(slot.result);
  if (evidence > 0) {
    record.consecutive_failures = 0;
    record.verdict = health_verdict::kFit;
    record.back_off = duration::zero();
  } else if (evidence < 0) {
    ++record.consecutive_failures;
    // Failures of tasks that were in flight at the time of the quarantine must
    // not extend the back-off.
    bool trial_failed = old_verdict == health_verdict::kOnTrial;
    bool too_many = old_verdict == health_verdict::kFit &&
                    record.consecutive_failures >= kFailuresToQuarantine;
    if (trial_failed || too_many)
      Quarantine(record, now);
  }
}

void upstream_health::RecordPeerVerdict(const upstream_id& upstream,
                                        time_point now) {
  health_record& record = records_[upstream];
  if (verdict(upstream, now) != health_verdict::kFit)
    return;
  record.consecutive_failures =
      std::max(record.consecutive_failures, kFailuresToQuarantine - 1);
}

bool upstream_health::MayReceive(const upstream_id& upstream,
                                 time_point now) const {
  auto found = records_.find(upstream);
  if (found == records_.end())
    return true;
  switch (verdict(upstream, now)) {
    case health_verdict::kFit:
      return true;
    case health_verdict::kOnTrial:
      return !found->second.trial_running || MostAreUnfit(now);
    case health_verdict::kQuarantined:
      return MostAreUnfit(now);
  }
  return true;
}

bool upstream_health::TrialNeedsIdempotent(const upstream_id& upstream,
                                           time_point now) const {
  if (verdict(upstream, now) != health_verdict::kOnTrial)
    return false;
  const health_record& record = records_.at(upstream);
  return record.unused_trials < kMaxUnusedTrials &&
         now < record.quarantined_until + kMaxIdempotentWait;
}

void upstream_health::RecordStart(const upstream_id& upstream, time_point now) {
  auto found = records_.find(upstream);
  if (found != records_.end() &&
      verdict(upstream, now) == health_verdict::kOnTrial) {
    found->second.trial_running = true;
  }
}

void upstream_health::SetUpstreams(const std::vector<upstream_id>& upstreams) {
  upstreams_ = upstreams;
  std::erase_if(records_, [&](const auto& entry) {
    return std::ranges::find(upstreams_, entry.first) == upstreams_.end();
  });
}

bool upstream_health::HasJustFailed(const upstream_id& upstream) const {
  auto found = records_.find(upstream);
  return found != records_.end() && found->second.consecutive_failures > 0;
}

// An upstream that fails tasks immediately also frees its slots immediately.
// Without the limit, all slots would be filled again while the first failures
// are being reported, and twice as many tasks as slots would fail before
// the quarantine.
int upstream_health::MaxInFlight(const upstream_id& upstream) const {
  auto found = records_.find(upstream);
  if (found == records_.end() || found->second.consecutive_failures == 0)
    return std::numeric_limits<int>::max();
  return std::max(1,
                  kFailuresToQuarantine - found->second.consecutive_failures);
}

health_verdict upstream_health::verdict(const upstream_id& upstream,
                                        time_point now) const {
  auto found = records_.find(upstream);
  if (found == records_.end())
    return health_verdict::kFit;
  const health_record& record = found->second;
  bool back_off_over = now >= record.quarantined_until;
  if (record.verdict == health_verdict::kQuarantined && back_off_over)
    return health_verdict::kOnTrial;
  return record.verdict;
}

double upstream_health::slowness(const upstream_id& upstream,
                                 time_point now) const {
  auto found = records_.find(upstream);
  if (found == records_.end())
    return 1;
  const health_record& record = found->second;
  double idle_s = ToSeconds(now - record.slowness_at);
  double kept = std::exp2(-idle_s / ToSeconds(kSlownessHalfLife));
  return 1 + (record.slowness - 1) * kept;
}

std::vector<upstream_id> upstream_health::quarantined(time_point now) const {
  std::vector<upstream_id> found;
  for (const auto& [id, record] : records_) {
    if (verdict(id, now) != health_verdict::kFit)
      found.push_back(id);
  }
  return found;
}

bool upstream_health::MostAreUnfit(time_point now) const {
  size_t unfit = 0;
  for (const auto& [id, record] : records_)
    unfit += verdict(id, now) != health_verdict::kFit;
  return unfit * 2 > upstreams_.size();
}

void upstream_health::Quarantine(health_record& record, time_point now) {
  record.verdict = health_verdict::kQuarantined;
  record.unused_trials = 0;
  record.back_off = record.back_off == duration::zero()
                        ? kFirstBackOff
                        : std::min(record.back_off * 2, kMaxBackOff);
  record.quarantined_until = now + record.back_off;
}

}  // namespace jasminedyke
