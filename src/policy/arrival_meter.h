// Measures the rate of arriving work by rank.

#ifndef SRC_POLICY_ARRIVAL_METER_H_
#define SRC_POLICY_ARRIVAL_METER_H_

#include <array>

#include "base/base.h"

namespace jasminedyke {

// Sums the work of recently admitted jobs by their rank at arrival. A job with
// a high rank waits not only for the queued work but also for work that arrives
// later with a lower rank. If only queued work counted, large jobs would be
// admitted under overload and then starve. Uses constant memory.
class arrival_meter {
 public:
  // `rank` is the job's `order_rule::Rank` at arrival, in seconds.
  void Record(double rank, duration work, time_point now);

  // Average number of slots that arriving jobs of a lower rank keep busy.
  double SlotsBefore(double rank, time_point now) const;

 private:
  static constexpr int kBuckets = 40;

  static int Bucket(double rank);
  double DecayFactor(time_point now) const;

  // Exponentially decaying sums of work in seconds, by range of rank.
  std::array<double, kBuckets> work_{};
  time_point updated_;
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_ARRIVAL_METER_H_
