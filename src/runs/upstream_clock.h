// What is known of an upstream's own steady clock, from its answers.

#ifndef SRC_RUNS_UPSTREAM_CLOCK_H_
#define SRC_RUNS_UPSTREAM_CLOCK_H_

#include "base/base.h"
#include "runs/run_types.h"

namespace jasminedyke {

// By its clock's reading, an upstream is beyond `limit` by so much that what
// ends then is over.
bool IsOverAt(upstream_time reading, upstream_time limit);

// Leases and time limits of orders are times on the upstream's clock, which is
// read only in answers that were some time on their way. Bounds on both sides:
// what counts as over must use the earliest, what is given the latest.
class upstream_clock {
 public:
  explicit upstream_clock(const scheduler& clock) : clock_(clock) {}

  // An answer to a call that was made at `asked` showed `reading`. Older
  // readings than the newest change nothing, as answers may overtake each
  // other.
  void Take(upstream_time reading, time_point asked);

  bool known() const { return known_; }
  // A reading came after `when`.
  bool HeardSince(time_point when) const { return known_ && heard_ > when; }

  // `reading` is of another clock: one asked later can't show less.
  bool IsRestarted(upstream_time reading, time_point asked) const {
    return known_ && asked >= heard_ && reading < reading_;
  }

  // Certainly not ahead of, and certainly not behind, the upstream's clock.
  // Only if `known()`.
  upstream_time Earliest() const;
  upstream_time Latest() const;

 private:
  const scheduler& clock_;
  // The upstream's clock was `reading_` at some moment between the two.
  upstream_time reading_;
  time_point asked_;
  time_point heard_;
  bool known_ = false;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_UPSTREAM_CLOCK_H_
