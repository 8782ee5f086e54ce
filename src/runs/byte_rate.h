// Bytes a second, lately.

#ifndef SRC_RUNS_BYTE_RATE_H_
#define SRC_RUNS_BYTE_RATE_H_

#include <cstdint>

#include "base/base.h"

namespace jasminedyke {

// What was noted counts less by half each `kHalfLife`.
class byte_rate {
 public:
  static constexpr duration kHalfLife = std::chrono::milliseconds(500);

  void Note(time_point now, uint64_t bytes);
  double PerSecond(time_point now) const;

 private:
  double sum_ = 0;
  time_point since_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_BYTE_RATE_H_
