// How long upstreams take to answer a home, at present.

#ifndef SRC_RUNS_ANSWER_TIMES_H_
#define SRC_RUNS_ANSWER_TIMES_H_

#include "base/base.h"

namespace jasminedyke {

// One estimate for all upstreams of a home. A single one that is slow, hung or
// cut off hardly moves it; if all are late, the home's own link or processor
// is, and what it would do about a late answer (look again, stop, start anew)
// only adds to that. With fixed patience a home whose link was two thirds full
// went into a collapse that lasted: 7 % of its callers were served.
//
// The estimate is that of TCP's retransmission timer (RFC 6298): mean and mean
// deviation, each by an exponential average.
class answer_times {
 public:
  // Of a call that the upstream answers at once.
  void Note(duration took);

  // An answer that takes longer is likely lost; at least `least`.
  duration Timeout(duration least) const;
  // What an order and the word of its end lose on their way.
  duration Delay() const { return mean_; }
  // The home's own link or processor is behind.
  bool AllLate() const;

 private:
  duration mean_ = duration::zero();
  duration deviation_ = duration::zero();
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_ANSWER_TIMES_H_
