// When a home has room for jobs of each priority, and when those that it sends
// away may come back.

#ifndef SRC_RUNS_HOME_ROOM_H_
#define SRC_RUNS_HOME_ROOM_H_

#include <map>
#include <vector>

#include "base/base.h"
#include "runs/home_job.h"
#include "runs/room_rate.h"
#include "runs/run_messages.h"

namespace jasminedyke {

// What a home has, at one look.
struct room_sight {
  const std::vector<waiting_job>& waiting;
  // Of all tasks that have ended.
  const priority_work& done;
  // Of upstreams that take work.
  double cores = 0;
};

// Jobs that are sent away together come back one after the other, as their work
// finds room (virtual finishing times, as in weighted fair queueing, of the
// work that was sent away).
class home_room {
 public:
  void Look(time_point now, const room_sight& sight);

  // Of a job that comes now, until the work that goes before it has begun.
  duration WaitOf(int priority) const;
  // For a job that is sent away now: no earlier than room is expected for it,
  // behind those that were sent away before it, and up to a horizon. Only the
  // first home that refuses it for load keeps a place, since it comes back
  // once.
  duration RetryAfter(time_point now, const waiting_job& sent_away);

 private:
  void KeepPlace(int priority, time_point room, double work);

  room_rate rate_;
  // Of waiting jobs that can still be in time: what goes before a new job.
  priority_work ahead_;
  double cores_ = 0;
  // By when the work is done that was sent away.
  std::map<int, time_point> promised_;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_HOME_ROOM_H_
