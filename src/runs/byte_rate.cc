#include "runs/byte_rate.h"

#include <cmath>
#include <numbers>

namespace jasminedyke {

void byte_rate::Add(time_point now, uint64_t bytes) {
  double mean_age = ToSeconds(kHalfLife) / std::numbers::ln2;
  sum_ = PerSecond(now) * mean_age + static_cast<double>(bytes);
  updated_ = now;
}

double byte_rate::PerSecond(time_point now) const {
  double half_lives = ToSeconds(now - updated_) / ToSeconds(kHalfLife);
  return sum_ * std::exp2(-half_lives) * std::numbers::ln2 /
         ToSeconds(kHalfLife);
}

}  // namespace jasminedyke
