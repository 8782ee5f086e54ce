// How often an instance without a home asks a store that fails.

#include <doctest/doctest.h>

#include "fakes/run_nodes.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Of an instance's own, besides those for the home's row: 2 a second.
constexpr int kOtherCalls = 21;
// 50, 100 and 200 ms after the first one, then each 400 ms, in 10 s.
constexpr int kMostAttempts = 28;

}  // namespace

// Guards against a store that fails and is called by each instance 20 times a
// second for as long as it does.
TEST_CASE("home_election: a store that fails is asked less and less often") {
  run_nodes d;
  d.store.outage = true;
  run_node& node = d.Add("north", 1);
  d.Run(seconds(10));
  CHECK(d.store.calls <= kMostAttempts + kOtherCalls);
  CHECK(d.store.calls >= 20);
  d.store.outage = false;
  d.Run(milliseconds(600));
  CHECK(node.cluster->home().serving());
}

// Guards against the same with a store that answers, and takes no row.
TEST_CASE("home_election: a store that refuses the row without end") {
  run_nodes d;
  d.store.fate = [] { return fake_tables::write_fate::kRefusedAtOnce; };
  run_node& node = d.Add("north", 1);
  d.Run(seconds(10));
  // A read and a write each time, also of the instance's own row.
  CHECK(d.store.calls <= 2 * (kMostAttempts + kOtherCalls));
  d.store.fate = [] { return fake_tables::write_fate::kAnswered; };
  d.Run(milliseconds(600));
  CHECK(node.cluster->home().serving());
}

// Guards against a home that begins late since one call failed.
TEST_CASE("home_election: a lone failed call delays nothing") {
  run_nodes d;
  int writes = 0;
  d.store.fate = [&writes] {
    return ++writes == 2 ? fake_tables::write_fate::kRefusedAtOnce
                         : fake_tables::write_fate::kAnswered;
  };
  run_node& node = d.Add("north", 1);
  d.Run(milliseconds(300));
  CHECK(writes >= 3);
  CHECK(node.cluster->home().serving());
}

}  // namespace jasminedyke
