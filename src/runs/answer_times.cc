#include "runs/answer_times.h"

#include <algorithm>

namespace jasminedyke {

namespace {

// Each answer has a weight of 1 / `kAveragingDivisor`. A home gets about a
// hundred answers per second from many upstreams, so with 32 the averages
// follow a change within a third of a second, and one late answer in ten
// changes them little. RFC 6298 uses an eighth, for the answers of one
// connection.
constexpr int kAveragingDivisor = 32;
// Number of deviations above the mean at which a call times out, as in RFC
// 6298.
constexpr int kTimeoutDeviations = 4;
// Answers usually take 2 to 5 ms, and up to 10 ms through a job's owner. A task
// of 60 ms misses its objective when its start request is delayed by 40 ms and
// its answer by another 40 ms, so that it takes at least 140 ms.
constexpr duration kLateAnswer = std::chrono::milliseconds(40);
// Longer timeouts would exceed the time limits of the calls themselves.
constexpr duration kMaxTimeout = std::chrono::milliseconds(300);

}  // namespace

void answer_times::Add(duration took) {
  duration deviation = took > mean_ ? took - mean_ : mean_ - took;
  deviation_ += (deviation - deviation_) / kAveragingDivisor;
  mean_ += (took - mean_) / kAveragingDivisor;
}

bool answer_times::AllLate() const {
  return mean_ > kLateAnswer;
}

duration answer_times::Timeout(duration minimum) const {
  return std::clamp(mean_ + deviation_ * kTimeoutDeviations, minimum,
                    kMaxTimeout);
}

}  // namespace jasminedyke
