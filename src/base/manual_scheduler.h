// A scheduler whose time moves only when told to.

#ifndef SRC_BASE_MANUAL_SCHEDULER_H_
#define SRC_BASE_MANUAL_SCHEDULER_H_

#include "base/timer_queue.h"

namespace jasminedyke {

// For tests and trace replay: time stands still until `Advance`.
class manual_scheduler : public scheduler {
 public:
  time_point now() const override { return now_; }
  timer_id CallAt(time_point when, timer_callback callback) override;
  void Cancel(timer_id id) override;

  // Runs every timer due within `step`, each at its own due time.
  void Advance(duration step);

  // Moves time without running timers, as when the process is stopped; the
  // timers run, late, at the next `Advance`.
  void Pause(duration length) { now_ += length; }

  // As when the machine is suspended: only the time of others goes on.
  void Suspend(duration length) { suspended_ += length; }
  time_point boot_now() const override { return now_ + suspended_; }

  // Runs the next timer at its due time; false if there is none.
  bool RunNext();

 private:
  timer_queue timers_;
  time_point now_{std::chrono::hours(1)};
  duration suspended_ = duration::zero();
};

}  // namespace jasminedyke

#endif  // SRC_BASE_MANUAL_SCHEDULER_H_
