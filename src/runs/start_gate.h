// Decides whether a home may start tasks, depending on whether operators have
// drained its failure domain.

#ifndef SRC_RUNS_START_GATE_H_
#define SRC_RUNS_START_GATE_H_

#include "base/base.h"
#include "runs/domain_drains.h"

namespace jasminedyke {

enum class start_decision {
  kStart,
  kWait,           // not known yet whether the domain is drained
  kReturnToOwner,  // no further task of the job may start here
};

// Jobs that have begun when a drain is ordered may finish: their remaining
// tasks start within `drain_grace_period`. Otherwise their work would be lost
// and their callers would get no answer. Jobs that have not begun are returned
// to their owners at once.
//
// A home that was not serving when it was notified of the drain grants no grace
// period, as it does not know how long ago the drain was ordered.
class start_gate {
 public:
  explicit start_gate(duration drain_grace_period)
      : drain_grace_period_(drain_grace_period) {}

  void Set(domain_state state, time_point now);
  // Ends the grace period when the home begins to serve again: another process
  // may have served the domain in the meantime.
  void EndGracePeriod() { grace_ends_at_ = time_point::min(); }

  // `begun` is true if a task of the job has started or may have started.
  start_decision Decide(bool begun, time_point now) const;

 private:
  duration drain_grace_period_;
  domain_state state_ = domain_state::kServing;
  time_point grace_ends_at_ = time_point::min();
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_START_GATE_H_
