// Estimates when a home has capacity for jobs of each priority, and when jobs
// that it refuses should be retried.

#ifndef SRC_RUNS_HOME_ROOM_H_
#define SRC_RUNS_HOME_ROOM_H_

#include <map>
#include <vector>

#include "base/base.h"
#include "runs/home_job.h"
#include "runs/room_rate.h"
#include "runs/run_messages.h"

namespace jasminedyke {

// The queue and the capacity of a home at one point in time.
struct capacity_snapshot {
  const std::vector<waiting_job>& waiting;
  // Work of all tasks that have ended.
  const priority_work& done;
  // Cores of the upstreams that take work.
  double cores = 0;
};

// Estimates the waits at a home and reserves future capacity for refused jobs.
// Jobs that are refused at the same time get different retry times, one after
// the other, as capacity becomes free for their work. For this, the object
// keeps virtual finishing times of the refused work, as in weighted fair
// queueing.
class home_room {
 public:
  void Update(time_point now, const capacity_snapshot& snapshot);

  // Returns how long a job that arrives now waits until the work that is served
  // before it has begun.
  duration ExpectedWait(int priority) const;
  // Reserves capacity for a job that is refused now, and returns the delay
  // after which the job should be retried. The delay ends when capacity is
  // expected for the job, after the jobs that were refused before it, and has
  // an upper limit. Only the first home that refuses a job because of overload
  // reserves capacity for it, since the job is retried only once.
  duration RetryAfter(time_point now, const waiting_job& refused);

 private:
  // Reserves capacity for refused work from `start` on.
  void Reserve(int priority, time_point start, double work);

  room_rate rate_;
  // Work of waiting jobs that can still be in time, which is served before that
  // of new jobs of the same priority.
  priority_work ahead_;
  double cores_ = 0;
  // By priority, when the refused work for which capacity is reserved will have
  // been served.
  std::map<int, time_point> reserved_until_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_HOME_ROOM_H_
