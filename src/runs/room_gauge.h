// How much of the room on a home's upstreams is of use for the tasks that it
// gets.
//
// The load that it answers: tasks that need about half of an upstream leave a
// part of nearly each one free in which none fits. Owners who take the sum for
// room send jobs from home to home, and all that finds no place gathers at the
// last one while the others have no queue.

#ifndef SRC_RUNS_ROOM_GAUGE_H_
#define SRC_RUNS_ROOM_GAUGE_H_

#include <cstdint>

namespace jasminedyke {

class room_gauge {
 public:
  // A task that needs so much was started.
  void Note(int64_t cpu_millis);

  // Of an upstream's free cores, those that usual tasks can fill; all of them
  // while none has started.
  int64_t Usable(int64_t free_cpu_millis) const;

 private:
  // Mean of the tasks started lately; 0 at first.
  double usual_need_ = 0;
};

}  // namespace jasminedyke

#endif  // SRC_RUNS_ROOM_GAUGE_H_
