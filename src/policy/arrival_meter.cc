#include "policy/arrival_meter.h"

#include <algorithm>
#include <cmath>

namespace jasminedyke {

namespace {

constexpr double kFadeSeconds = 10;
// Two buckets for each doubling, the first one up to 10 ms.
constexpr double kBucketsPerDoubling = 2;
constexpr double kFirstRank = 0.01;

}  // namespace

void arrival_meter::Record(double rank, duration work, time_point now) {
  double kept = Kept(now);
  for (double& each : work_)
    each *= kept;
  updated_ = now;
  work_[Bucket(rank)] += ToSeconds(work);
}

double arrival_meter::SlotsBefore(double rank, time_point now) const {
  double seconds = 0;
  for (int i = 0; i < Bucket(rank); ++i)
    seconds += work_[i];
  // A steady rate r, fading with time constant T, adds up to r * T.
  return seconds * Kept(now) / kFadeSeconds;
}

int arrival_meter::Bucket(double rank) {
  if (rank <= kFirstRank)
    return 0;
  double doublings = std::log2(rank / kFirstRank);
  int bucket = static_cast<int>(doublings * kBucketsPerDoubling) + 1;
  return std::min(bucket, kBuckets - 1);
}

double arrival_meter::Kept(time_point now) const {
  return std::exp(-ToSeconds(now - updated_) / kFadeSeconds);
}

}  // namespace jasminedyke
