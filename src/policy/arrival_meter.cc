#include "policy/arrival_meter.h"

#include <algorithm>
#include <cmath>

namespace jasminedyke {

namespace {

// Time constant of the exponential decay.
constexpr double kDecaySeconds = 10;
// Two buckets per doubling of the rank. The first bucket ends at 10 ms.
constexpr double kBucketsPerDoubling = 2;
constexpr double kFirstBucketRank = 0.01;

}  // namespace

void arrival_meter::Record(double rank, duration work, time_point now) {
  double decay = DecayFactor(now);
  for (double& each : work_)
    each *= decay;
  updated_ = now;
  work_[Bucket(rank)] += ToSeconds(work);
}

double arrival_meter::SlotsBefore(double rank, time_point now) const {
  double seconds = 0;
  for (int i = 0; i < Bucket(rank); ++i)
    seconds += work_[i];
  // With a decay time constant of T, work that arrives at a steady rate r sums
  // up to r * T.
  return seconds * DecayFactor(now) / kDecaySeconds;
}

int arrival_meter::Bucket(double rank) {
  if (rank <= kFirstBucketRank)
    return 0;
  double doublings = std::log2(rank / kFirstBucketRank);
  int bucket = static_cast<int>(doublings * kBucketsPerDoubling) + 1;
  return std::min(bucket, kBuckets - 1);
}

double arrival_meter::DecayFactor(time_point now) const {
  return std::exp(-ToSeconds(now - updated_) / kDecaySeconds);
}

}  // namespace jasminedyke
