// Tests of the bounds of an upstream's clock between its replies.

#include <doctest/doctest.h>

#include "runs/runs.h"

namespace jasminedyke {

using std::chrono::milliseconds;

TEST_CASE("upstream_clock: bounds hold for clocks that are exact or slow") {
  manual_scheduler clock;
  upstream_clock upstream(clock);
  CHECK(!upstream.known());
  time_point sent_at = clock.now();
  clock.Advance(milliseconds(10));
  upstream.AddReading({5000}, sent_at);
  REQUIRE(upstream.known());
  // The clock showed 5000 at some moment of the last 10 ms.
  CHECK(upstream.LowerBound().ms == 5000);
  CHECK(upstream.UpperBound().ms == 5011);
  clock.Advance(milliseconds(1000));
  // Lower bound: a clock 2 % slow that was read as the reply arrived. Upper
  // bound: an exact clock that was read as the call was sent.
  CHECK(upstream.LowerBound().ms == 5980);
  CHECK(upstream.UpperBound().ms == 6011);
}

TEST_CASE("upstream_clock: a reply that arrives out of order is ignored") {
  manual_scheduler clock;
  upstream_clock upstream(clock);
  upstream.AddReading({5000}, clock.now());
  clock.Advance(milliseconds(20));
  upstream.AddReading({4990}, clock.now());
  CHECK(upstream.UpperBound().ms == 5021);
  CHECK(!upstream.HasReadingSince(clock.now() - milliseconds(1)));
}

}  // namespace jasminedyke
