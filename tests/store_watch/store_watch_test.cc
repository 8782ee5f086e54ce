// Tests of when the store counts as silent.

#include <doctest/doctest.h>

#include "fakes/fake_tables.h"

namespace jasminedyke {

namespace {

using std::chrono::milliseconds;

struct watched_store {
  void Ask(duration delay) {
    tables.delay = delay;
    watch.Read("t", "k", [](const auto&) {});
  }

  manual_scheduler clock;
  fake_tables tables{clock};
  store_watch watch{clock, tables};
};

}  // namespace

TEST_CASE("store_watch: a store that answers is not silent") {
  watched_store s;
  s.Ask(milliseconds(5));
  s.clock.Advance(milliseconds(10));
  CHECK(!s.watch.silent_since());
}

TEST_CASE("store_watch: silence begins with the first call that failed") {
  watched_store s;
  s.tables.outage = true;
  time_point begun = s.clock.now();
  s.Ask(milliseconds(1000));
  s.clock.Advance(milliseconds(500));
  s.Ask(milliseconds(1000));
  CHECK(!s.watch.silent_since());
  s.clock.Advance(milliseconds(1000));
  CHECK(s.watch.silent_since() == begun);
}

// Guards against a home that begins beside the one that the store names: a call
// from before the store was back counted as silence.
TEST_CASE(
    "store_watch: a later call was answered before an earlier one fails") {
  watched_store s;
  s.tables.outage = true;
  s.Ask(milliseconds(1000));
  s.clock.Advance(milliseconds(900));
  s.tables.outage = false;
  s.Ask(milliseconds(5));
  s.clock.Advance(milliseconds(10));
  s.tables.outage = true;
  s.clock.Advance(milliseconds(500));
  CHECK(!s.watch.silent_since());
}

}  // namespace jasminedyke
