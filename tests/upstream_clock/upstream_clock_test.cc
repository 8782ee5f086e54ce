// Bounds on an upstream's clock between its answers.

#include <doctest/doctest.h>

#include "runs/runs.h"

namespace jasminedyke {

using std::chrono::milliseconds;

TEST_CASE("upstream_clock: bounds hold for clocks that are exact or slow") {
  manual_scheduler clock;
  upstream_clock upstream(clock);
  CHECK(!upstream.known());
  time_point asked = clock.now();
  clock.Advance(milliseconds(10));
  upstream.Take({5000}, asked);
  REQUIRE(upstream.known());
  // It showed 5000 at some moment of the last 10 ms.
  CHECK(upstream.Earliest().ms == 5000);
  CHECK(upstream.Latest().ms == 5011);
  clock.Advance(milliseconds(1000));
  // Slow by 2 %, asked for at the end; exact, asked for at the beginning.
  CHECK(upstream.Earliest().ms == 5980);
  CHECK(upstream.Latest().ms == 6011);
}

TEST_CASE("upstream_clock: an answer that was overtaken moves nothing back") {
  manual_scheduler clock;
  upstream_clock upstream(clock);
  upstream.Take({5000}, clock.now());
  clock.Advance(milliseconds(20));
  upstream.Take({4990}, clock.now());
  CHECK(upstream.Latest().ms == 5021);
  CHECK(!upstream.HeardSince(clock.now() - milliseconds(1)));
}

}  // namespace jasminedyke
