// On which upstream a task starts.

#ifndef SRC_RUNS_PLACEMENT_H_
#define SRC_RUNS_PLACEMENT_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "runs/run_types.h"

namespace jasminedyke {

// An upstream that may run the task.
struct placement_candidate {
  resource_amount room;
  // How much longer the task takes there than at best, 1 or more.
  double slowness = 1;
};

// The index of the upstream to take, nothing if the task fits on none: among
// the fastest ones the one that is left with the least processor room (best
// fit), as large rooms are needed for large tasks.
std::optional<size_t> ChooseUpstream(
    const std::vector<placement_candidate>& candidates,
    const resource_amount& need);

}  // namespace jasminedyke

#endif  // SRC_RUNS_PLACEMENT_H_
