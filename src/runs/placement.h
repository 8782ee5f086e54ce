// Chooses the upstream on which a task starts.

#ifndef SRC_RUNS_PLACEMENT_H_
#define SRC_RUNS_PLACEMENT_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "runs/run_types.h"

namespace jasminedyke {

// Returns the class of a speed; speeds of one class are treated as equal.
// Classes are rounded logarithms of the speed: 0 is normal speed, higher is
// faster.
int SpeedClass(double speed);
// Returns a speed near the middle of the class.
double SpeedOfClass(int speed_class);

// An upstream that may run the task.
struct placement_candidate {
  resource_amount room;
  // The task's run time there relative to the best placement; at least 1.
  double slowness = 1;
  int speed_class = 0;
  // The free share of the capacity of all upstreams of this speed class.
  double free_share = 0;
};

// What a task requires of its upstream.
struct placement_need {
  resource_amount room;
  // The lowest speed at which the job ends in time; infinite if it no longer
  // can.
  double least_speed = 0;
};

// Ranks upstreams that are equally near to the task's data.
enum class placement_rule {
  // Ignores speeds.
  kBestFit,
  kFastest,
  // Prefers the slowest upstream that is fast enough, so that short tasks and
  // tasks with slack leave fast upstreams to long tasks. While classes have
  // much free room, tasks go to the fastest of these classes, so that fast
  // upstreams don't sit idle.
  kLeastSlack,
};

// Returns the index of the upstream to use, or nothing if the task fits on
// none. Among those that `rule` ranks best, takes the one with the least CPU
// left over (best fit), to keep large rooms free for large tasks.
std::optional<size_t> ChooseUpstream(
    const std::vector<placement_candidate>& candidates,
    const placement_need& need,
    placement_rule rule);

}  // namespace jasminedyke

#endif  // SRC_RUNS_PLACEMENT_H_
