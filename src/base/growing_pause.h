// Pauses between attempts that grow while they fail.

#ifndef SRC_BASE_GROWING_PAUSE_H_
#define SRC_BASE_GROWING_PAUSE_H_

#include <algorithm>

#include "base/scheduler.h"

namespace jasminedyke {

class growing_pause {
 public:
  growing_pause(duration first, duration longest)
      : first_(first), longest_(longest) {}

  // The pause after one more failure: twice the last one, within the bounds.
  duration Next() {
    last_ = std::clamp(last_ * 2, first_, longest_);
    return last_;
  }

  void Reset() { last_ = duration::zero(); }

 private:
  duration first_;
  duration longest_;
  duration last_ = duration::zero();
};

}  // namespace jasminedyke

#endif  // SRC_BASE_GROWING_PAUSE_H_
