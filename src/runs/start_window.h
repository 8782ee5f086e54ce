// How many starts a home has unanswered at one time, by how late answers are.

#ifndef SRC_RUNS_START_WINDOW_H_
#define SRC_RUNS_START_WINDOW_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "base/base.h"
#include "runs/upstream_port.h"

namespace jasminedyke {

// A home whose link or processor is full makes all that it has sent wait behind
// what it sends next; after a while each start arrives too late to be of use.
// There is no bound until answers show that state. Then it is the number that
// the best rate of answers seen lately needs to be answered in time, as in BBR;
// it shrinks while answers stay late and grows when they are not (TCP Vegas).
//
// An interval counts as late by its lower quartile, much as CoDel (RFC 8289)
// takes the least delay of an interval: a burst or a few upstreams that are
// slow for a reason of their own don't close the window for the others.
class start_window : public upstream_port {
 public:
  // Told when a start may be sent again that could not be before.
  using open_handler = std::function<void()>;

  start_window(scheduler& clock, upstream_port& next, open_handler on_open);

  // One more start may be sent now.
  bool IsOpen();
  bool is_bounded() const { return bound_.has_value(); }
  // Until so many starts have been answered, at the present rate.
  duration WaitFor(size_t starts) const;

  void Start(const upstream_id& upstream,
             const run_order& order,
             start_callback done) override;
  void Stop(const upstream_id& upstream,
            const stop_order& order,
            stop_callback done) override;
  void Hold(const upstream_id& upstream,
            const hold_order& order,
            hold_callback done) override;
  void Drop(const upstream_id& upstream) override;

 private:
  struct unanswered_start {
    upstream_id upstream;
    time_point sent;
  };

  void OnAnswered(uint64_t number, bool heard);
  void CloseInterval();
  void Judge(duration length);
  void Shrink();
  void Grow();
  size_t InFlight() const;

  scheduler& clock_;
  upstream_port& next_;
  open_handler on_open_;
  // Nothing: starts are not bounded. Not below `kLeastBound`.
  std::optional<double> bound_;
  // A start was refused in this interval.
  bool was_full_ = false;
  time_point interval_begun_;
  // Of this interval.
  std::vector<duration> answers_;
  // On end.
  int late_intervals_ = 0;
  // Answers a second, the best of late.
  double best_rate_ = 0;
  // In the order of their sending.
  std::map<uint64_t, unanswered_start> unanswered_;
  uint64_t last_number_ = 0;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_START_WINDOW_H_
