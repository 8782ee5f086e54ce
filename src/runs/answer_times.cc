#include "runs/answer_times.h"

#include <algorithm>

namespace jasminedyke {

namespace {

// Each answer has a weight of 1 / `kAveragingDivisor`. RFC 6298 uses an eighth
// for the answers of one connection, but a home gets about a hundred answers
// per second from many upstreams. With 32 the averages follow a change within a
// third of a second, and one late answer in ten changes them little.
constexpr int kAveragingDivisor = 32;
// Number of deviations above the mean at which a call times out, as in RFC
// 6298.
constexpr int kTimeoutDeviations = 4;
// Answers usually take 2 to 5 ms, and up to 10 ms through a job's owner. A task
// of 60 ms whose order is delayed by 40 ms misses its objective when its answer
// is delayed as much.
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
