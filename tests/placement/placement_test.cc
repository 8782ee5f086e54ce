// Tests which upstream is chosen for a task.

#include <limits>
#include <vector>

#include <doctest/doctest.h>

#include "runs/runs.h"

namespace jasminedyke {

namespace {

const int kSlow = SpeedClass(0.6);
const int kUsual = SpeedClass(1);
const int kFast = SpeedClass(1.6);
const resource_amount kRoom{32'000, 1000, 0};
const resource_amount kNeed{16'000, 100, 0};
constexpr double kNever = std::numeric_limits<double>::infinity();

std::vector<placement_candidate> ThreeSpeeds(double free_share) {
  return {{kRoom, 1, kUsual, free_share},
          {kRoom, 1, kFast, free_share},
          {kRoom, 1, kSlow, free_share}};
}

std::optional<size_t> LeastSlack(const std::vector<placement_candidate>& all,
                                 double least_speed) {
  return ChooseUpstream(all, {kNeed, least_speed}, placement_rule::kLeastSlack);
}

}  // namespace

TEST_CASE("placement: the slowest upstream that is in time if room is scarce") {
  CHECK(LeastSlack(ThreeSpeeds(0.1), 0.4) == 2);
  CHECK(LeastSlack(ThreeSpeeds(0.1), 0.8) == 0);
  CHECK(LeastSlack(ThreeSpeeds(0.1), 1.3) == 1);
}

TEST_CASE("placement: the fastest upstream while its speed class is idle") {
  CHECK(LeastSlack(ThreeSpeeds(0.9), 0.4) == 1);
}

TEST_CASE("placement: a late task takes no fast upstream") {
  CHECK(LeastSlack(ThreeSpeeds(0.1), kNever) == 2);
  // Fast upstreams are used while their class is mostly idle.
  CHECK(LeastSlack(ThreeSpeeds(0.9), kNever) == 1);
}

TEST_CASE("placement: best fit among upstreams of one speed") {
  std::vector<placement_candidate> alike{{{48'000, 1000, 0}, 1, kUsual, 0.5},
                                         {{20'000, 1000, 0}, 1, kUsual, 0.5},
                                         {{12'000, 1000, 0}, 1, kUsual, 0.5}};
  for (double least_speed : {0.0, 0.9, 1.1, kNever})
    CHECK(LeastSlack(alike, least_speed) == 1);
}

TEST_CASE("placement: nearness to the data precedes speed") {
  std::vector<placement_candidate> candidates{{kRoom, 3, kFast, 0.9},
                                              {kRoom, 1, kUsual, 0.1}};
  CHECK(LeastSlack(candidates, 0.5) == 1);
}

TEST_CASE("placement: speed classes") {
  CHECK(kUsual == 0);
  CHECK(kSlow < SpeedClass(0.8));
  CHECK(SpeedClass(0.8) < 0);
  CHECK(SpeedClass(1.25) > 0);
  CHECK(kFast > SpeedClass(1.25));
  CHECK(SpeedOfClass(SpeedClass(1)) == 1);
}

}  // namespace jasminedyke
