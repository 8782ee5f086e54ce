// Whether a home may start tasks at all, by what operators want of its failure
// domain.

#ifndef SRC_RUNS_START_GATE_H_
#define SRC_RUNS_START_GATE_H_

#include "base/base.h"
#include "runs/domain_drains.h"

namespace jasminedyke {

enum class start_permit {
  kStart,
  kWait,      // not known yet whether the domain is drained
  kHandBack,  // nothing more of the job starts here
};

// A job that has begun when a drain comes may finish: its other tasks start
// within `drain_grace_period`, else its work would be thrown away and its
// caller get no answer. Jobs that have not begun go elsewhere at once.
//
// A home that did not serve when it learnt of the drain finishes nothing: it
// can't tell how long ago the drain was ordered.
class start_gate {
 public:
  explicit start_gate(duration drain_grace_period)
      : finish_time_(drain_grace_period) {}

  void Set(domain_state state, time_point now);
  // Another process may have served the domain in between.
  void Restart() { finish_by_ = time_point::min(); }

  // `begun`: a task of the job has started or may have.
  start_permit Permit(bool begun, time_point now) const;

 private:
  duration finish_time_;
  domain_state state_ = domain_state::kServing;
  time_point finish_by_ = time_point::min();
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_START_GATE_H_
