// On which upstream a task starts.

#ifndef SRC_RUNS_PLACEMENT_H_
#define SRC_RUNS_PLACEMENT_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "runs/run_types.h"

namespace jasminedyke {

// Speeds of one class count as alike. 0 is the usual one; others are rounded
// logarithms of the speed, so that higher is faster.
int SpeedClass(double speed);
// About the middle of the class.
double SpeedOf(int speed_class);

// An upstream that may run the task.
struct placement_candidate {
  resource_amount room;
  // How much longer the task takes there than at best, 1 or more.
  double slowness = 1;
  int speed_class = 0;
  // Of all room of upstreams of this class, the share that is free.
  double free_share = 0;
};

struct placement_need {
  resource_amount room;
  // So that the job ends in time; infinite if it can't any more.
  double least_speed = 0;
};

// Which of two upstreams that are equally near to the task's data is better.
enum class placement_rule {
  // Speeds don't matter.
  kBestFit,
  kFastest,
  // The slowest that is in time. Short tasks and those with slack leave fast
  // upstreams to long ones. While a class has much free room, tasks go to the
  // fastest such class: what idles helps nobody.
  kLeastSlack,
};

// The index of the upstream to take, nothing if the task fits on none: of the
// best ones by `rule` the one that is left with the least processor room (best
// fit), as large rooms are needed for large tasks.
std::optional<size_t> ChooseUpstream(
    const std::vector<placement_candidate>& candidates,
    const placement_need& need,
    placement_rule rule);

}  // namespace jasminedyke

#endif  // SRC_RUNS_PLACEMENT_H_
