// Demand that differs between failure domains and swings within seconds.

#include <cmath>
#include <numbers>
#include <string>

#include <doctest/doctest.h>

#include "fakes/load_day.h"

namespace jasminedyke {

namespace {

using std::chrono::seconds;

// Two and a half times as many arrivals at the crest as in the trough, each
// domain a third of a period after the one before.
double Swinging(const std::string& domain, duration at) {
  constexpr double kPeriod = 10;
  constexpr double kSwing = 3.0 / 7;
  double third = domain == "north" ? 0 : domain == "south" ? 1 : 2;
  double turn = ToSeconds(at) / kPeriod + third / 3;
  return 1 + kSwing * std::sin(2 * std::numbers::pi * turn);
}

}  // namespace

TEST_CASE("load: demand swings between three failure domains") {
  // What has queued in one domain goes where another one has room again.
  load_day day({"north", "south", "west"}, 3, 8, 7);
  day.SetWeights(Swinging);
  day.Play(seconds(20), 0.95);
  day.Finish();
  CHECK(day.Worth() > 0.9);
  uint64_t given = 0;
  uint64_t pulled = 0;
  for (run_node* node : day.Live()) {
    given += node->cluster->home().metrics().given;
    pulled += node->cluster->desk().metrics().pulled;
  }
  CHECK(given > 0);
  CHECK(pulled == given);
}

}  // namespace jasminedyke
