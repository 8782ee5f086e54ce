// The ordered set of timers behind both schedulers.

#ifndef SRC_BASE_TIMER_QUEUE_H_
#define SRC_BASE_TIMER_QUEUE_H_

#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

#include "base/scheduler.h"

namespace jasminedyke {

// Keeps timers by due time. It has no clock of its own.
class timer_queue {
 public:
  timer_id Add(time_point when, timer_callback callback);
  void Cancel(timer_id id);

  // The earliest due time; nothing if there are no timers.
  std::optional<time_point> next_due() const;

  // Takes the earliest timer if it is due at `now`; an empty callback if not.
  timer_callback TakeDue(time_point now);

  size_t size() const { return timers_.size(); }

 private:
  using order = std::pair<time_point, timer_id>;

  std::map<order, timer_callback> timers_;
  // Has exactly the ids that `timers_` has.
  std::unordered_map<timer_id, time_point> due_by_id_;
  timer_id last_id_ = 0;
};

}  // namespace jasminedyke

#endif  // SRC_BASE_TIMER_QUEUE_H_
