#include "runs/upstream_clock.h"

namespace jasminedyke {

namespace {

// The platform guarantees that upstream clocks run at most 2 % slow.
constexpr double kMinClockRate = 0.98;
// Safety margin before a time on the upstream's clock counts as past.
constexpr int64_t kDeadlineMarginMs = 30;

}  // namespace

bool IsPast(upstream_time reading, upstream_time limit) {
  return reading.ms > limit.ms + kDeadlineMarginMs;
}

void upstream_clock::AddReading(upstream_time reading, time_point sent_at) {
  if (known_ && reading < last_reading_)
    return;
  known_ = true;
  last_reading_ = reading;
  sent_at_ = sent_at;
  received_at_ = clock_.now();
}

upstream_time upstream_clock::LowerBound() const {
  auto elapsed =
      static_cast<double>(WholeMilliseconds(clock_.now() - received_at_));
  return {last_reading_.ms + static_cast<int64_t>(elapsed * kMinClockRate)};
}

upstream_time upstream_clock::UpperBound() const {
  return {last_reading_.ms + WholeMilliseconds(clock_.now() - sent_at_) + 1};
}

}  // namespace jasminedyke
