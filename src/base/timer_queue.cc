#include "base/timer_queue.h"

namespace jasminedyke {

timer_id timer_queue::Add(time_point when, timer_callback callback) {
  timer_id id = ++last_id_;
  timers_.emplace(order(when, id), std::move(callback));
  due_by_id_.emplace(id, when);
  return id;
}

void timer_queue::Cancel(timer_id id) {
  auto found = due_by_id_.find(id);
  if (found == due_by_id_.end())
    return;
  timers_.erase(order(found->second, id));
  due_by_id_.erase(found);
}

std::optional<time_point> timer_queue::next_due() const {
  if (timers_.empty())
    return std::nullopt;
  return timers_.begin()->first.first;
}

timer_callback timer_queue::TakeDue(time_point now) {
  if (timers_.empty() || timers_.begin()->first.first > now)
    return {};
  auto first = timers_.begin();
  timer_callback callback = std::move(first->second);
  due_by_id_.erase(first->first.second);
  timers_.erase(first);
  return callback;
}

}  // namespace jasminedyke
