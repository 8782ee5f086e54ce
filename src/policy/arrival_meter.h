// How much work arrives that goes before a job of a given rank.

#ifndef SRC_POLICY_ARRIVAL_METER_H_
#define SRC_POLICY_ARRIVAL_METER_H_

#include <array>

#include "base/base.h"

namespace jasminedyke {

// Work of admitted jobs over the last seconds, by their rank at arrival. A job
// of low rank waits not only for the work that is there but also for what
// keeps arriving before it; with only the former counted, large jobs would be
// admitted under overload and then starve. Constant memory.
class arrival_meter {
 public:
  // `rank` as of `order_rule::Rank` at arrival, in seconds.
  void Record(double rank, duration work, time_point now);

  // Slots that arrivals of a better rank keep busy.
  double SlotsBefore(double rank, time_point now) const;

 private:
  static constexpr int kBuckets = 40;

  static int Bucket(double rank);
  double Kept(time_point now) const;

  // Seconds of work, fading; bucket `i` has ranks up to a power of two.
  std::array<double, kBuckets> work_{};
  time_point updated_;
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_ARRIVAL_METER_H_
