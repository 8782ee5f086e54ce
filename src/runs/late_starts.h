// Orders to start a run that went unanswered and that an upstream may still
// carry out.

#ifndef SRC_RUNS_LATE_STARTS_H_
#define SRC_RUNS_LATE_STARTS_H_

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "base/base.h"
#include "runs/run_types.h"

namespace jasminedyke {

// How long after it was sent an unanswered order may be carried out.
inline constexpr duration kMaxOrderDelay = std::chrono::seconds(15);

// An upstream's promise to refuse an order ends with the incarnation that gave
// it, and so does the order's time limit: the next incarnation has another
// clock. That incarnation may carry the order out before its home can call it.
// Until no order for a task can arrive any more, the task may therefore run
// only on the upstream that its orders were sent to, which never has two runs
// of one task.
//
// Upstreams that get another id with each incarnation reply as gone to orders
// for an earlier one. Their promises hold for good, and their orders are not
// recorded.
class late_starts {
 public:
  using start = std::pair<task_name, run_number>;

  // Where a task may run while orders for it may still arrive.
  struct place {
    // Empty if there are orders to several upstreams, so that none may run it.
    upstream_id upstream;
    // The current incarnation of `upstream` refuses all of these orders.
    bool refused = false;
    // The highest run number in these orders.
    run_number last_run;
    // When the last of these orders can't arrive any more.
    time_point until;
  };

  // Records an order for the start that was sent to the upstream at `sent` and
  // has not been answered. The upstream does not refuse it yet.
  void Add(const upstream_id& upstream,
           const start& ordered,
           time_point sent,
           time_point now);
  // The order that was sent at `sent` has been answered.
  void Remove(const upstream_id& upstream,
              const start& ordered,
              time_point sent);
  // The upstream's current incarnation refuses this run and the task's earlier
  // ones.
  void OnRefused(const upstream_id& upstream, const start& refused);
  // The next incarnation of the upstream refuses nothing yet.
  void OnNewIncarnation(const upstream_id& upstream);
  // Returns, for each task, the latest start that the upstream's current
  // incarnation does not refuse.
  std::vector<start> Unrefused(const upstream_id& upstream,
                               time_point now) const;
  // Returns empty if no order for the task can arrive any more.
  std::optional<place> PlaceOf(const task_name& task, time_point now) const;

  bool empty() const { return orders_.empty(); }

 private:
  struct order {
    upstream_id upstream;
    run_number run;
    time_point sent;
    bool refused = false;

    bool MayArrive(time_point now) const { return now - sent < kMaxOrderDelay; }
  };

  // Forgets orders that can't arrive any more.
  void ForgetOld(time_point now);
  void ForgetOldOf(const task_name& task, time_point now);

  std::map<task_name, std::vector<order>> orders_;
  // The tasks of all orders, by the time at which the order was recorded.
  std::deque<std::pair<time_point, task_name>> recorded_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_LATE_STARTS_H_
