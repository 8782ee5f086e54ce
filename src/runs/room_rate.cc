#include "runs/room_rate.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace jasminedyke {

namespace {

// Lower bound of the share. Jobs may wait for particular upstreams while all
// others are idle, and then few tasks end although capacity is free.
constexpr double kMinShare = room_rate::kUsableShare / 4;
// Lower bound of the fraction of the rate that is available to a priority, even
// if other jobs use all of the rate: some jobs of the priority are placed
// between the more urgent ones.
constexpr double kMinAvailable = 0.1;

// Longer intervals are skipped: the instance was not home or was suspended, so
// it is unknown whether work waited.
constexpr duration kMaxInterval = std::chrono::seconds(1);

// Returns the weight that an earlier average keeps.
double KeptWeight(duration passed, duration half_life) {
  return std::exp2(-ToSeconds(passed) / ToSeconds(half_life));
}

void Blend(double& mean, double share, double kept) {
  mean = kept * mean + (1 - kept) * share;
}

}  // namespace

void priority_work::Add(int priority, double work) {
  auto position = all_.lower_bound(priority);
  bool known = position != all_.end() && position->first == priority;
  if (!known && all_.size() >= kMaxPriorities) {
    if (position == all_.end())
      position = std::prev(position);
    position->second += work;
    return;
  }
  all_[priority] += work;
}

double priority_work::Of(int priority) const {
  auto found = all_.find(priority);
  return found == all_.end() ? 0 : found->second;
}

double priority_work::UpTo(int priority) const {
  double sum = 0;
  for (const auto& [other, work] : all_)
    sum += other <= priority ? work : 0;
  return sum;
}

room_rate::room_rate() : share_(kUsableShare) {}

void room_rate::Update(time_point now,
                       const priority_work& done,
                       double cores,
                       bool work_waits) {
  duration passed = now - updated_;
  double offered = ToSeconds(passed) * std::min(cores, cores_);
  if (offered > 0 && passed <= kMaxInterval) {
    bool busy = work_waited_ && work_waits;
    double kept = busy ? KeptWeight(passed, kHalfLife) : 1;
    double usual_kept = KeptWeight(passed, kUsualHalfLife);
    double total = 0;
    for (const auto& [priority, work] : done.all()) {
      double share = (work - done_.Of(priority)) / offered;
      total += share;
      Blend(shares_[priority], share, kept);
      Blend(usual_shares_[priority], share, usual_kept);
    }
    Blend(share_, total, kept);
  }
  done_ = done;
  cores_ = cores;
  updated_ = now;
  work_waited_ = work_waits;
}

double room_rate::RateAvailableTo(int priority) const {
  double total = std::max(share_, kMinShare);
  double available = total;
  for (const auto& [other, used] : shares_)
    available -= other < priority ? used : 0;
  return std::max(available, total * kMinAvailable) * cores_;
}

double room_rate::SpareRateFor(int priority) const {
  auto usual = usual_shares_.find(priority);
  double taken = usual == usual_shares_.end() ? 0 : usual->second * cores_;
  double available = RateAvailableTo(priority);
  return std::max(available - taken, available * kMinAvailable);
}

}  // namespace jasminedyke
