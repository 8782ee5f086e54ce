#include "runs/placement.h"

#include <utility>

namespace jasminedyke {

std::optional<size_t> ChooseUpstream(
    const std::vector<placement_candidate>& candidates,
    const resource_amount& need) {
  std::optional<size_t> best;
  std::pair<double, int64_t> best_cost;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const placement_candidate& candidate = candidates[i];
    if (!need.Fits(candidate.room))
      continue;
    std::pair<double, int64_t> cost{
        candidate.slowness, candidate.room.cpu_millis - need.cpu_millis};
    if (best && cost >= best_cost)
      continue;
    best = i;
    best_cost = cost;
  }
  return best;
}

}  // namespace jasminedyke
