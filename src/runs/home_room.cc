#include "runs/home_room.h"

#include <algorithm>

#include "runs/admission_estimate.h"

namespace jasminedyke {

namespace {

// Load changes within seconds: nothing is known of later times.
constexpr duration kMostRetryAfter = std::chrono::seconds(10);

}  // namespace

void home_room::Look(time_point now, const room_sight& sight) {
  rate_.Look(now, sight.done, sight.cores, !sight.waiting.empty());
  ahead_ = {};
  for (const waiting_job& each : sight.waiting) {
    if (each.rank.lateness == job_lateness::kOnTime)
      ahead_.Add(each.rank.priority, each.work);
  }
  cores_ = sight.cores;
  std::erase_if(promised_, [&](const auto& each) { return each.second < now; });
}

duration home_room::WaitOf(int priority) const {
  if (cores_ <= 0)
    return kWaitWithoutCores;
  return std::min(kMostRetryAfter,
                  FromSeconds(ahead_.UpTo(priority) / rate_.LeftTo(priority)));
}

duration home_room::RetryAfter(time_point now, const waiting_job& sent_away) {
  int priority = sent_away.rank.priority;
  time_point room = now + WaitOf(priority);
  for (const auto& [each, until] : promised_)
    room = each <= priority ? std::max(room, until) : room;
  room = std::min(room, now + kMostRetryAfter);
  if (cores_ > 0 && !sent_away.job->request.has_place)
    KeepPlace(priority, room, sent_away.work);
  for (auto& [each, until] : promised_)
    until = std::min(until, now + kMostRetryAfter);
  return std::max(kLeastRetryAfter, room - now);
}

// Those that are less urgent come after it.
void home_room::KeepPlace(int priority, time_point room, double work) {
  promised_[priority] = room + FromSeconds(work / rate_.SpareFor(priority));
  for (auto& [each, until] : promised_)
    until += each > priority ? FromSeconds(work / rate_.SpareFor(each))
                             : duration::zero();
}

}  // namespace jasminedyke
