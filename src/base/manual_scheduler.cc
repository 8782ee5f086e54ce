#include "base/manual_scheduler.h"

#include <algorithm>

namespace jasminedyke {

timer_id manual_scheduler::CallAt(time_point when, timer_callback callback) {
  return timers_.Add(when, std::move(callback));
}

void manual_scheduler::Cancel(timer_id id) {
  timers_.Cancel(id);
}

void manual_scheduler::Advance(duration step) {
  const time_point end = now_ + step;
  while (timers_.next_due() && *timers_.next_due() <= end)
    RunNext();
  now_ = std::max(now_, end);
}

bool manual_scheduler::RunNext() {
  auto due = timers_.next_due();
  if (!due)
    return false;
  now_ = std::max(now_, *due);
  timer_callback callback = timers_.TakeDue(now_);
  callback();
  return true;
}

}  // namespace jasminedyke
