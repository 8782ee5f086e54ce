// The clock and the timers that everything else runs on.

#ifndef SRC_BASE_SCHEDULER_H_
#define SRC_BASE_SCHEDULER_H_

#include <cstdint>
#include <functional>
#include <utility>

#include "base/runtime_clock.h"

namespace jasminedyke {

using timer_id = uint64_t;
using timer_callback = std::function<void()>;

// Gives the time and calls back at a time. The daemon uses `event_loop`,
// tests and trace replay use `manual_scheduler`.
class scheduler {
 public:
  virtual ~scheduler() = default;

  virtual time_point now() const = 0;

  // The time by a clock that goes on while the machine is suspended, as those
  // of other machines do. Has another origin than `now()`, and no timers.
  virtual time_point boot_now() const { return now(); }

  // Calls `callback` once `now()` has reached `when`, never from within this
  // call. Timers of one instant run in the order in which they were set.
  virtual timer_id CallAt(time_point when, timer_callback callback) = 0;

  // A timer that has run or is unknown is ignored.
  virtual void Cancel(timer_id id) = 0;

  timer_id CallAfter(duration delay, timer_callback callback) {
    return CallAt(now() + delay, std::move(callback));
  }
};

// A timer that is cancelled with its owner, so that no callback outlives it.
class scoped_timer {
 public:
  explicit scoped_timer(scheduler& s) : scheduler_(s) {}
  scoped_timer(const scoped_timer&) = delete;
  scoped_timer& operator=(const scoped_timer&) = delete;
  ~scoped_timer() { Stop(); }

  // Replaces a timer set before.
  void StartAt(time_point when, timer_callback callback) {
    Stop();
    active_ = true;
    id_ = scheduler_.CallAt(when, [this, cb = std::move(callback)] {
      active_ = false;
      // A copy: the callback may set this timer again or destroy its owner.
      auto call = cb;
      call();
    });
  }

  void StartAfter(duration delay, timer_callback callback) {
    StartAt(scheduler_.now() + delay, std::move(callback));
  }

  void Stop() {
    if (active_)
      scheduler_.Cancel(id_);
    active_ = false;
  }

  bool active() const { return active_; }

 private:
  scheduler& scheduler_;
  timer_id id_ = 0;
  bool active_ = false;
};

}  // namespace jasminedyke

#endif  // SRC_BASE_SCHEDULER_H_
