// One process's share of a common clock, which can be stopped.

#ifndef REPLAY_PAUSABLE_SCHEDULER_H_
#define REPLAY_PAUSABLE_SCHEDULER_H_

#include <functional>
#include <set>
#include <utility>
#include <vector>

#include "base/base.h"

namespace jasminedyke {

// While paused, as a process is by SIGSTOP, time goes on and callbacks that
// come due are held; they run, late, when it continues.
class pausable_scheduler : public scheduler {
 public:
  explicit pausable_scheduler(scheduler& common) : common_(common) {}

  time_point now() const override { return common_.now(); }

  timer_id CallAt(time_point when, timer_callback callback) override {
    timer_id id = ++last_id_;
    live_.insert(id);
    common_.CallAt(when, [this, id, callback = std::move(callback)] {
      if (paused_)
        held_.emplace_back(id, callback);
      else
        Run(id, callback);
    });
    return id;
  }

  void Cancel(timer_id id) override { live_.erase(id); }

  void Pause() { paused_ = true; }
  void Continue() {
    paused_ = false;
    for (auto& [id, callback] : std::exchange(held_, {}))
      Run(id, callback);
  }

  // Nothing runs any more: the process was killed.
  void Kill() { live_.clear(); }

 private:
  void Run(timer_id id, const timer_callback& callback) {
    if (live_.erase(id) > 0)
      callback();
  }

  scheduler& common_;
  timer_id last_id_ = 0;
  std::set<timer_id> live_;
  std::vector<std::pair<timer_id, timer_callback>> held_;
  bool paused_ = false;
};

}  // namespace jasminedyke

#endif  // REPLAY_PAUSABLE_SCHEDULER_H_
