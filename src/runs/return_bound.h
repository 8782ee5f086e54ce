// How long runs may go on once the owner of their job may be lost.

#ifndef SRC_RUNS_RETURN_BOUND_H_
#define SRC_RUNS_RETURN_BOUND_H_

#include "base/base.h"

namespace jasminedyke {

// A caller that lost its connection sends its job again after `resend_after`,
// perhaps to an owner and a home that don't know of the first submission. By
// then the runs of that submission must be over, whether or not orders to stop
// them arrive. So no lease ends later than
//
//   confirmed + resend_after - kReturnMargin
//
// where `confirmed` is the latest time at which the owner of a job with a run
// on the upstream is known to have had the job (`owner_links`). The caller
// can't have lost its connection earlier.
//
// A lease never shortens, and holds for all runs of its upstream. So no lease
// that is granted exceeds `MaxLease`, and a job's tasks start only while its
// owner's confirmation is at most `kMaxConfirmationAge` old:
//
//   now + MaxLease <= confirmed + resend_after - kReturnMargin
//
// All times include those for which this machine was suspended.
class return_bound {
 public:
  explicit return_bound(duration resend_after) : resend_after_(resend_after) {}

  // The time by which runs must be over whose owner had the job at `confirmed`.
  time_point EndOfRuns(time_point confirmed) const {
    return confirmed + resend_after_ - kReturnMargin;
  }
  // The longest lease to request from upstreams that grant `longest_lease`.
  duration MaxLease(duration longest_lease) const;
  // Whether tasks may start at `now` whose runs must be over at `end`.
  bool MayStart(time_point now, time_point end) const {
    return end - now >= MaxLease(duration::max());
  }
  // Whether runs must be stopped at `now` that must be over at `end`.
  bool MustStop(time_point now, time_point end) const {
    return end - now < kTimeToStop;
  }

 private:
  // Callers may notice a loss earlier than the owner by a message's way, and
  // upstreams end runs a moment after their lease.
  static constexpr duration kReturnMargin = std::chrono::milliseconds(50);
  // Owners confirm five times a second what homes sent up to 50 ms before; the
  // rest is for instances that are slow.
  static constexpr duration kMaxConfirmationAge =
      std::chrono::milliseconds(450);
  // Leases can't be renewed in time below this. Where callers return so soon
  // that it matters, runs may outlive their bound.
  static constexpr duration kMinLease = std::chrono::milliseconds(300);
  // Runs are stopped so long before their leases must not be prolonged any
  // more, which would end the other runs on their upstreams too. Enough for a
  // stop and its repetition.
  static constexpr duration kTimeToStop = std::chrono::milliseconds(200);

  duration resend_after_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_RETURN_BOUND_H_
