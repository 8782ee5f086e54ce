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

// Two tasks fit on an upstream, and leave nearly a third of it free.
void LeaveFragments(load_day& day) {
  for (auto& [id, upstream] : day.fleet.upstreams) {
    upstream->capacity.cpu_millis = 41'000;
    day.fleet.registry.at(id).capacity.cpu_millis = 41'000;
  }
  for (run_node* node : day.Live())
    node->cluster->SetUpstreams(day.fleet.registry);
}

}  // namespace

TEST_CASE("load: demand swings, and free cores are in pieces of no use") {
  // By the sum of free cores each home seems to have places for each job. Jobs
  // were handed on from home to home and gathered at the last one, while
  // others' places went to whoever came next.
  load_day day({"north", "south", "west"}, 3, 8, 7);
  LeaveFragments(day);
  day.SetWeights(Swinging);
  day.Play(seconds(20), 0.95);
  day.Finish();
  CHECK(day.Worth() > 0.9);
  uint64_t given = 0;
  uint64_t pulled = 0;
  uint64_t passed = 0;
  for (run_node* node : day.Live()) {
    given += node->cluster->home().metrics().given;
    pulled += node->cluster->desk().metrics().pulled;
    for (const auto& [why, jobs] : node->cluster->home().refused_jobs())
      passed += why == run_refusal::kBusy ? jobs : 0;
  }
  CHECK(given > 0);
  CHECK(pulled == given);
  CHECK(passed < 100);
}

}  // namespace jasminedyke
