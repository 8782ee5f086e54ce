// How fast room becomes free at a home, and how much of it is left to jobs of a
// priority.

#ifndef SRC_RUNS_ROOM_RATE_H_
#define SRC_RUNS_ROOM_RATE_H_

#include <map>

#include "base/base.h"

namespace jasminedyke {

// Core-seconds by priority. Operators may configure any number of priorities;
// those beyond `kMost` count with the nearest one.
class priority_work {
 public:
  static constexpr size_t kMost = 8;

  void Add(int priority, double work);
  double Of(int priority) const;
  // Of that priority and of those that are more urgent.
  double UpTo(int priority) const;

  const std::map<int, double>& all() const { return all_; }

 private:
  std::map<int, double> all_;
};

// Seen while work waits, as the core-seconds that end by those that upstreams
// offer: so the rate follows at once when upstreams are lost or come. Both
// sides are by callers' guesses, whose common error cancels out. What was seen
// counts half as much after each `kHalfLife` of such time.
class room_rate {
 public:
  static constexpr duration kHalfLife = std::chrono::seconds(1);
  // Of what is usual, whatever waits.
  static constexpr duration kUsualHalfLife = std::chrono::seconds(5);
  // Of all cores, until more is seen: tasks leave fragments on upstreams.
  static constexpr double kUsableShare = 0.8;

  room_rate();

  // `done`: of all tasks that have ended since this began. `work_waits`: now;
  // time counts as busy if it does at two looks on end.
  void Look(time_point now,
            const priority_work& done,
            double cores,
            bool work_waits);

  // Core-seconds a second that more urgent jobs leave.
  double LeftTo(int priority) const;
  // The same less what jobs of that priority usually take: for those that come
  // beside them.
  double SpareFor(int priority) const;

 private:
  // Of the offered core-seconds: in all, and by priority as far as seen.
  double share_;
  std::map<int, double> shares_;
  // By priority, also while nothing waits.
  std::map<int, double> usual_;
  double cores_ = 0;
  priority_work done_;
  time_point looked_;
  bool work_waited_ = false;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_ROOM_RATE_H_
