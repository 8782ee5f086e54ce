#include "runs/upstream_clock.h"

#include <algorithm>
#include <cmath>

namespace jasminedyke {

namespace {

// The platform guarantees that upstream clocks run at most 2 % slow.
constexpr double kMinClockRate = 0.98;
// Safety margin before a time on the upstream's clock counts as past.
constexpr int64_t kDeadlineMarginMs = 30;
// Largest part of an order's validity that makes up for the uncertainty of the
// clock. Two seconds without a call to an upstream whose clock is slow take
// 40 ms of it, a round trip the rest.
constexpr int64_t kMaxClockSlackMs = 100;

}  // namespace

bool IsPast(upstream_time reading, upstream_time limit) {
  return reading.ms > limit.ms + kDeadlineMarginMs;
}

void upstream_clock::AddReading(upstream_time reading, time_point sent_at) {
  if (known_ && reading < last_reading_)
    return;
  bound upper{reading, sent_at};
  bound lower{reading, clock_.now()};
  // A reading above the upper bound shows that this instance's own clock stood
  // still or that the upstream's clock was set anew.
  if (!known_ || Upper(upper) < Upper(upper_) || reading > Upper(upper_))
    upper_ = upper;
  bool stood_still = known_ && Upper(upper) < Lower(lower_);
  if (!known_ || Lower(lower) > Lower(lower_) || stood_still)
    lower_ = lower;
  known_ = true;
  last_reading_ = reading;
  received_at_ = clock_.now();
}

upstream_time upstream_clock::Lower(const bound& lower) const {
  auto elapsed =
      static_cast<double>(WholeMilliseconds(clock_.now() - lower.at));
  return {lower.reading.ms + static_cast<int64_t>(elapsed * kMinClockRate)};
}

upstream_time upstream_clock::Upper(const bound& upper) const {
  return {upper.reading.ms + WholeMilliseconds(clock_.now() - upper.at) + 1};
}

// Only the newest reading counts: an upstream that is suspended stands still,
// and an earlier reading would show a lease as expired that goes on.
upstream_time upstream_clock::LowerBound() const {
  return Lower({last_reading_, received_at_});
}

upstream_time upstream_clock::UpperBound() const {
  return Upper(upper_);
}

// A clock may be slow in the time to come, and may have been right in the past.
upstream_time upstream_clock::EarliestAt(time_point when) const {
  auto ahead = static_cast<double>(WholeMilliseconds(when - clock_.boot_now()));
  double rate = ahead > 0 ? kMinClockRate : 1;
  return {LowerBound().ms + static_cast<int64_t>(std::floor(ahead * rate))};
}

upstream_time upstream_clock::OrderLimit(duration limit) const {
  int64_t now = std::min(UpperBound().ms, Lower(lower_).ms + kMaxClockSlackMs);
  return {now + WholeMilliseconds(limit)};
}

}  // namespace jasminedyke
