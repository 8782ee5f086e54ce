#include "runs/answer_times.h"

#include <algorithm>

namespace jasminedyke {

namespace {

// RFC 6298 takes an eighth of each answer, of one connection; a home has some
// hundred answers a second from many upstreams. With this it follows a change
// within a third of a second, and one late answer in ten moves it little.
constexpr int kWeight = 32;
constexpr int kDeviations = 4;
// Answers take 2 to 5 ms, through a job's owner up to 10; a task of 60 ms that
// loses 40 ms on the way to its upstream misses its objective on the way back.
constexpr duration kLate = std::chrono::milliseconds(40);
// What the calls' own time limits allow.
constexpr duration kLongestPatience = std::chrono::milliseconds(300);

}  // namespace

void answer_times::Note(duration took) {
  duration off = took > mean_ ? took - mean_ : mean_ - took;
  deviation_ += (off - deviation_) / kWeight;
  mean_ += (took - mean_) / kWeight;
}

bool answer_times::AllLate() const {
  return mean_ > kLate;
}

duration answer_times::Timeout(duration least) const {
  return std::clamp(mean_ + deviation_ * kDeviations, least, kLongestPatience);
}

}  // namespace jasminedyke
