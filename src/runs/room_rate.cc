#include "runs/room_rate.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace jasminedyke {

namespace {

// Jobs may wait for upstreams of their own while all others idle; that must not
// look as if nothing became free.
constexpr double kLeastShare = room_rate::kUsableShare / 4;
// Of the rate, at least, to any priority: some of its jobs get room between the
// more urgent ones.
constexpr double kLeastLeft = 0.1;

// Nobody knows what waited in between while the home had ended or was frozen.
constexpr duration kLongestLook = std::chrono::seconds(1);

double Kept(duration passed, duration half_life) {
  return std::exp2(-ToSeconds(passed) / ToSeconds(half_life));
}

void Blend(double& mean, double seen, double kept) {
  mean = kept * mean + (1 - kept) * seen;
}

}  // namespace

void priority_work::Add(int priority, double work) {
  auto place = all_.lower_bound(priority);
  bool known = place != all_.end() && place->first == priority;
  if (!known && all_.size() >= kMost) {
    if (place == all_.end())
      place = std::prev(place);
    place->second += work;
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
  for (const auto& [each, work] : all_)
    sum += each <= priority ? work : 0;
  return sum;
}

room_rate::room_rate() : share_(kUsableShare) {}

void room_rate::Look(time_point now,
                     const priority_work& done,
                     double cores,
                     bool work_waits) {
  duration passed = now - looked_;
  double offered = ToSeconds(passed) * std::min(cores, cores_);
  if (offered > 0 && passed <= kLongestLook) {
    bool busy = work_waited_ && work_waits;
    double kept = busy ? Kept(passed, kHalfLife) : 1;
    double usual_kept = Kept(passed, kUsualHalfLife);
    double all = 0;
    for (const auto& [priority, work] : done.all()) {
      double seen = (work - done_.Of(priority)) / offered;
      all += seen;
      Blend(shares_[priority], seen, kept);
      Blend(usual_[priority], seen, usual_kept);
    }
    Blend(share_, all, kept);
  }
  done_ = done;
  cores_ = cores;
  looked_ = now;
  work_waited_ = work_waits;
}

double room_rate::LeftTo(int priority) const {
  double all = std::max(share_, kLeastShare);
  double left = all;
  for (const auto& [each, share] : shares_)
    left -= each < priority ? share : 0;
  return std::max(left, all * kLeastLeft) * cores_;
}

double room_rate::SpareFor(int priority) const {
  auto usual = usual_.find(priority);
  double taken = usual == usual_.end() ? 0 : usual->second * cores_;
  double left = LeftTo(priority);
  return std::max(left - taken, left * kLeastLeft);
}

}  // namespace jasminedyke
