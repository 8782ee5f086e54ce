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
  load_day day({"north", "south", "west"}, 3, 8, 7);
  day.SetWeights(Swinging);
  day.Play(seconds(20), 0.95);
  day.Finish();
  MESSAGE("worth ", day.Worth(), " urgent ", day.Of("urgent").in_time_share(),
          " two ", day.Of("two-tasks").in_time_share(), " long ",
          day.Of("long").in_time_share());
  uint64_t given = 0;
  for (run_node* node : day.Live())
    given += node->cluster->home().metrics().given;
  MESSAGE("given ", given);
  CHECK(day.Of("urgent").in_time_share() > 0.75);
}

}  // namespace jasminedyke
