#include "runs/upstream_clock.h"

namespace jasminedyke {

namespace {

// Upstreams' clocks may be 2 % slow (platform's bound).
constexpr double kSlowestClock = 0.98;
// Beyond a time on the upstream's clock, before something counts as over.
constexpr int64_t kClockMarginMs = 30;

}  // namespace

bool IsOverAt(upstream_time reading, upstream_time limit) {
  return reading.ms > limit.ms + kClockMarginMs;
}

void upstream_clock::Take(upstream_time reading, time_point asked) {
  if (known_ && reading < reading_)
    return;
  known_ = true;
  reading_ = reading;
  asked_ = asked;
  heard_ = clock_.now();
}

upstream_time upstream_clock::Earliest() const {
  auto passed = static_cast<double>(WholeMilliseconds(clock_.now() - heard_));
  return {reading_.ms + static_cast<int64_t>(passed * kSlowestClock)};
}

upstream_time upstream_clock::Latest() const {
  return {reading_.ms + WholeMilliseconds(clock_.now() - asked_) + 1};
}

}  // namespace jasminedyke
