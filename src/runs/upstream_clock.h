// Estimates the reading of an upstream's steady clock from its replies.

#ifndef SRC_RUNS_UPSTREAM_CLOCK_H_
#define SRC_RUNS_UPSTREAM_CLOCK_H_

#include "base/base.h"
#include "runs/run_types.h"

namespace jasminedyke {

// Returns whether `limit` is past, by a safety margin, on an upstream's clock
// that shows `reading`.
bool IsPast(upstream_time reading, upstream_time limit);

// Bounds the current reading of an upstream's steady clock. Leases and the time
// limits of orders are times on that clock, but its readings arrive only in
// replies, which take an unknown time to travel. Expiry must be checked against
// the lower bound; new leases and limits must be computed from the upper bound.
//
// A clock may be slow but is never fast, so each reading bounds all later ones
// from above by the time since its call was sent. The best of these bounds
// counts: the reply to a call that waited at the upstream gives a poor one.
class upstream_clock {
 public:
  explicit upstream_clock(const scheduler& clock) : clock_(clock) {}

  // Records the clock `reading` in the reply to a call sent at `sent_at`.
  // Readings lower than the last one are ignored, as replies may arrive out of
  // order.
  void AddReading(upstream_time reading, time_point sent_at);

  bool known() const { return known_; }
  // Returns whether a reading was received after `time`.
  bool HasReadingSince(time_point time) const {
    return known_ && received_at_ > time;
  }

  // Returns whether `reading`, from the reply to a call sent at `sent_at`,
  // shows that the clock was restarted: it is lower than a reading that was
  // received before the call was sent.
  bool IsRestarted(upstream_time reading, time_point sent_at) const {
    return known_ && sent_at >= received_at_ && reading < last_reading_;
  }

  // Bounds of the clock's current reading. Must be called only if `known()`.
  upstream_time LowerBound() const;
  upstream_time UpperBound() const;
  // Returns a lower bound of the clock's reading at `when`, a time of
  // `scheduler::boot_now`. Must be called only if `known()`.
  upstream_time EarliestAt(time_point when) const;
  // Returns the time until which an order that is sent now is valid, so that it
  // can be carried out for at least `limit`, unless replies were delayed, and
  // for hardly longer.
  upstream_time OrderLimit(duration limit) const;

 private:
  // A reading of the upstream's clock and a time of this instance's clock.
  struct bound {
    upstream_time reading;
    time_point at;
  };

  upstream_time Upper(const bound& upper) const;
  upstream_time Lower(const bound& lower) const;

  const scheduler& clock_;
  upstream_time last_reading_;
  time_point received_at_;
  // The upstream's clock showed at most the reading at that time.
  bound upper_;
  // The upstream's clock showed at least the reading at that time. Unlike
  // `LowerBound`, this bound may be of an earlier reading.
  bound lower_;
  bool known_ = false;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_UPSTREAM_CLOCK_H_
