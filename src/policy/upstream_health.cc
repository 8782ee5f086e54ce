#include "policy/upstream_health.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jasminedyke {

namespace {

constexpr int kFailuresToQuarantine = 3;
constexpr duration kFirstBackOff = std::chrono::seconds(1);
constexpr duration kLongestBackOff = std::chrono::seconds(30);
constexpr duration kTrialDelay = std::chrono::milliseconds(500);
constexpr int kUnusedTrials = 6;
constexpr duration kIdempotentWait = std::chrono::seconds(5);
constexpr double kSlownessWeight = 0.1;
constexpr duration kSlownessHalfLife = std::chrono::seconds(20);
// One straggler must not make an upstream look ten times slower.
constexpr double kLargestSlowness = 4;

// Whether a result speaks for (1), against (-1) or not at all (0) about the
// upstream's fitness.
int Weight(slot_result result) {
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
  const health_verdict before = verdict(slot.upstream, now);
  record.trial_running = false;
  // Nobody had a task to try it with; asking again at once would only cost
  // messages.
  if (before == health_verdict::kOnTrial &&
      slot.result == slot_result::kUnused) {
    record.quarantined_until = now + kTrialDelay;
    ++record.unused_trials;
  }
  if (slot.slowness > 0) {
    double bounded = std::min(slot.slowness, kLargestSlowness);
    double before_it = slowness(slot.upstream, now);
    record.slowness = before_it + kSlownessWeight * (bounded - before_it);
    record.slowness_at = now;
  }
  int weight = Weight(slot.result);
  if (weight > 0) {
    record.consecutive_failures = 0;
    record.verdict = health_verdict::kFit;
    record.back_off = duration::zero();
  } else if (weight < 0) {
    ++record.consecutive_failures;
    // Failures of tasks that were under way when it was quarantined must not
    // make the back-off longer.
    bool trial_failed = before == health_verdict::kOnTrial;
    bool too_many = before == health_verdict::kFit &&
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
      return !found->second.trial_running || ViewIsSuspect(now);
    case health_verdict::kQuarantined:
      return ViewIsSuspect(now);
  }
  return true;
}

bool upstream_health::TrialNeedsIdempotent(const upstream_id& upstream,
                                           time_point now) const {
  if (verdict(upstream, now) != health_verdict::kOnTrial)
    return false;
  const health_record& record = records_.at(upstream);
  return record.unused_trials < kUnusedTrials &&
         now < record.quarantined_until + kIdempotentWait;
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

// An upstream that fails at once frees its slots at once, too. Were they all
// filled again while the first failures are being reported, twice its slots
// would be lost before its quarantine.
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

bool upstream_health::ViewIsSuspect(time_point now) const {
  size_t bad = 0;
  for (const auto& [id, record] : records_)
    bad += verdict(id, now) != health_verdict::kFit;
  return bad * 2 > upstreams_.size();
}

void upstream_health::Quarantine(health_record& record, time_point now) {
  record.verdict = health_verdict::kQuarantined;
  record.unused_trials = 0;
  record.back_off = record.back_off == duration::zero()
                        ? kFirstBackOff
                        : std::min(record.back_off * 2, kLongestBackOff);
  record.quarantined_until = now + record.back_off;
}

}  // namespace jasminedyke
