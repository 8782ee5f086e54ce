// An exponentially decaying average of a byte rate.

#ifndef SRC_RUNS_BYTE_RATE_H_
#define SRC_RUNS_BYTE_RATE_H_

#include <cstdint>

#include "base/base.h"

namespace jasminedyke {

// Bytes per second. The weight of recorded bytes halves every `kHalfLife`.
class byte_rate {
 public:
  static constexpr duration kHalfLife = std::chrono::milliseconds(500);

  void Add(time_point now, uint64_t bytes);
  double PerSecond(time_point now) const;

 private:
  // The decayed number of bytes as of `updated_`.
  double sum_ = 0;
  time_point updated_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_BYTE_RATE_H_
