// Estimates how long upstreams currently take to answer a home.

#ifndef SRC_RUNS_ANSWER_TIMES_H_
#define SRC_RUNS_ANSWER_TIMES_H_

#include "base/base.h"

namespace jasminedyke {

// One estimate for all upstreams of a home. A single upstream that is slow,
// hung or disconnected hardly changes it. If all answers are late, the home's
// own link or processor is overloaded, and reacting to late answers (asking
// again, stopping and restarting runs) only adds to the load. With a fixed
// timeout, a home whose link is two thirds full collapses and does not recover:
// 7 % of its callers are served.
//
// The estimate is the one of TCP's retransmission timer (RFC 6298): exponential
// moving averages of the time and of its absolute deviation.
class answer_times {
 public:
  // Adds the duration of a call that upstreams answer at once.
  void Add(duration took);

  // Returns the time after which an answer is likely lost: at least `minimum`,
  // up to a fixed limit.
  duration Timeout(duration minimum) const;
  // Returns the mean time of one round trip to an upstream. Messages delay a
  // task by this time in total: one way when the task is started, and one way
  // when its end is reported.
  duration Delay() const { return mean_; }
  // Returns true if the mean answer time exceeds 40 ms, which means that the
  // home's own link or processor is overloaded.
  bool AllLate() const;

 private:
  duration mean_ = duration::zero();
  duration deviation_ = duration::zero();
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_ANSWER_TIMES_H_
