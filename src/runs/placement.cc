#include "runs/placement.h"

#include <cmath>
#include <tuple>

namespace jasminedyke {

namespace {

// Width of a speed class in the natural logarithm of the speed.
constexpr double kClassLogWidth = 0.2;
// Above this free share, a class has room to spare for tasks that arrive later.
constexpr double kSpareFreeShare = 0.3;
// Above this free share, a class is mostly idle, so that late tasks may run
// there without taking room from other tasks.
constexpr double kIdleFreeShare = 0.5;

// Orders candidates by speed; the smallest is best.
struct speed_cost {
  // 0 if the class has room to spare; 1 if it has no room to spare but is
  // fast enough, or if no class is fast enough; 2 if it is too slow and other
  // classes are fast enough.
  int tier = 0;
  int order = 0;

  auto operator<=>(const speed_cost&) const = default;
};

speed_cost LeastSlackCost(const placement_candidate& candidate,
                          double least_speed) {
  int speed_class = candidate.speed_class;
  if (std::isinf(least_speed))
    return candidate.free_share > kIdleFreeShare ? speed_cost{0, -speed_class}
                                                 : speed_cost{1, speed_class};
  bool in_time = SpeedOfClass(speed_class) >= least_speed;
  if (!in_time)
    return {2, -speed_class};
  if (candidate.free_share > kSpareFreeShare)
    return {0, -speed_class};
  return {1, speed_class};
}

speed_cost Cost(const placement_candidate& candidate,
                double least_speed,
                placement_rule rule) {
  switch (rule) {
    case placement_rule::kBestFit:
      return {};
    case placement_rule::kFastest:
      return {0, -candidate.speed_class};
    case placement_rule::kLeastSlack:
      return LeastSlackCost(candidate, least_speed);
  }
  return {};
}

}  // namespace

int SpeedClass(double speed) {
  return static_cast<int>(std::lround(std::log(speed) / kClassLogWidth));
}

double SpeedOfClass(int speed_class) {
  return std::exp(speed_class * kClassLogWidth);
}

std::optional<size_t> ChooseUpstream(
    const std::vector<placement_candidate>& candidates,
    const placement_need& need,
    placement_rule rule) {
  std::optional<size_t> best;
  std::tuple<double, speed_cost, int64_t> best_cost;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const placement_candidate& candidate = candidates[i];
    if (!need.room.Fits(candidate.room))
      continue;
    std::tuple cost{candidate.slowness, Cost(candidate, need.least_speed, rule),
                    candidate.room.cpu_millis - need.room.cpu_millis};
    if (best && cost >= best_cost)
      continue;
    best = i;
    best_cost = cost;
  }
  return best;
}

}  // namespace jasminedyke
