// Estimates how fast capacity becomes free at a home, and how much of it is
// available to jobs of each priority.

#ifndef SRC_RUNS_ROOM_RATE_H_
#define SRC_RUNS_ROOM_RATE_H_

#include <map>

#include "base/base.h"

namespace jasminedyke {

// Core-seconds of work by priority; a lower number is more urgent. Operators
// may configure any number of priorities. Once `kMaxPriorities` have been seen,
// work of another priority is counted under a neighbouring one.
class priority_work {
 public:
  static constexpr size_t kMaxPriorities = 8;

  void Add(int priority, double work);
  double Of(int priority) const;
  // Returns the work of this priority and of all more urgent ones.
  double UpTo(int priority) const;

  const std::map<int, double>& all() const { return all_; }

 private:
  std::map<int, double> all_;
};

// Estimates the rate, in core-seconds per second, at which a home's upstreams
// complete work, and how much of it is available to each priority. The rate is
// kept as a share of the upstreams' cores, so that it follows at once when
// upstreams are lost or added. The share is the core-seconds of tasks that
// ended over the core-seconds that upstreams offered, measured only while work
// waits. Finished and waiting work are both counted by callers' estimates, so
// that a factor by which all estimates are wrong cancels out when a wait is
// computed from both. The weight of a measurement halves with each `kHalfLife`
// during which work waits.
class room_rate {
 public:
  static constexpr duration kHalfLife = std::chrono::seconds(1);
  // Half-life of the usual share of each priority: the share of the offered
  // core-seconds that the priority uses, measured at all times and not only
  // while work waits.
  static constexpr duration kUsualHalfLife = std::chrono::seconds(5);
  // Assumed share until it has been measured. It is below 1 because tasks leave
  // fragments of upstreams' capacity unused.
  static constexpr double kUsableShare = 0.8;

  room_rate();

  // Adds a measurement. `done` is the work of all tasks that have ended since
  // this object was created; `work_waits` says whether work waits now. An
  // interval counts as busy if work waits at both of its ends.
  void Update(time_point now,
              const priority_work& done,
              double cores,
              bool work_waits);

  // Core-seconds per second that more urgent jobs leave to this priority.
  double RateAvailableTo(int priority) const;
  // Like `RateAvailableTo`, less what jobs of this priority usually take: the
  // rate at which additional jobs of this priority can be served.
  double SpareRateFor(int priority) const;

 private:
  // Share of the offered core-seconds that is used while work waits, in total
  // and for each priority seen so far.
  double share_;
  std::map<int, double> shares_;
  // Share used by each priority at all times.
  std::map<int, double> usual_shares_;
  double cores_ = 0;
  priority_work done_;
  time_point updated_;
  bool work_waited_ = false;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_ROOM_RATE_H_
