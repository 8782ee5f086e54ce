#include "runs/home_room.h"

#include <algorithm>

#include "runs/admission_estimate.h"

namespace jasminedyke {

namespace {

// Horizon of the estimates: load changes within seconds, so that later times
// can't be predicted.
constexpr duration kMaxRetryAfter = std::chrono::seconds(10);

}  // namespace

void home_room::Update(time_point now, const capacity_snapshot& snapshot) {
  rate_.Update(now, snapshot.done, snapshot.cores, !snapshot.waiting.empty());
  ahead_ = {};
  for (const waiting_job& queued : snapshot.waiting) {
    if (queued.rank.lateness == job_lateness::kOnTime)
      ahead_.Add(queued.rank.priority, queued.work);
  }
  cores_ = snapshot.cores;
  std::erase_if(reserved_until_,
                [&](const auto& entry) { return entry.second < now; });
}

duration home_room::ExpectedWait(int priority) const {
  if (cores_ <= 0)
    return kWaitWithoutCores;
  return std::min(kMaxRetryAfter, FromSeconds(ahead_.UpTo(priority) /
                                              rate_.RateAvailableTo(priority)));
}

duration home_room::RetryAfter(time_point now, const waiting_job& refused) {
  int priority = refused.rank.priority;
  time_point start = now + ExpectedWait(priority);
  for (const auto& [other, until] : reserved_until_)
    start = other <= priority ? std::max(start, until) : start;
  start = std::min(start, now + kMaxRetryAfter);
  if (cores_ > 0 && !refused.job->request.has_place)
    Reserve(priority, start, refused.work);
  for (auto& [other, until] : reserved_until_)
    until = std::min(until, now + kMaxRetryAfter);
  return std::max(kMinRetryAfter, start - now);
}

// Less urgent work that was refused is served later by the time that `work`
// takes at the spare rate of the less urgent priority.
void home_room::Reserve(int priority, time_point start, double work) {
  reserved_until_[priority] =
      start + FromSeconds(work / rate_.SpareRateFor(priority));
  for (auto& [other, until] : reserved_until_)
    until += other > priority ? FromSeconds(work / rate_.SpareRateFor(other))
                              : duration::zero();
}

}  // namespace jasminedyke
