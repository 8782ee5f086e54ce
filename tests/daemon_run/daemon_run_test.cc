// Signals that reach a daemon at any moment of its life.

#include "daemon/daemon_run.h"

#include <algorithm>
#include <csignal>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace jasminedyke {
namespace {

TEST_CASE("signals during the start are acted on once the daemon stands") {
  // The operators' platform changes the settings or stops the instance while
  // it is still opening its ports. Without a handler either signal ends the
  // process at once, as if it had crashed.
  event_loop loop;
  std::vector<std::string> seen;
  RunDaemon(loop, [&] {
    std::raise(SIGHUP);
    std::raise(SIGTERM);
    seen.push_back("stands");
    signal_actions actions;
    actions.reload = [&] { seen.push_back("reload"); };
    actions.stop = [&](const std::function<void()>& done) {
      seen.push_back("stop");
      done();
    };
    return actions;
  });
  REQUIRE(seen.size() == 3);
  CHECK(seen.front() == "stands");
  CHECK(std::count(seen.begin(), seen.end(), "reload") == 1);
  CHECK(std::count(seen.begin(), seen.end(), "stop") == 1);
}

// Guards against an instance that ends as if it had crashed: it was told to
// stop while it was still reading its settings.
TEST_CASE("a signal that comes before the daemon is made") {
  HoldSignals();
  std::raise(SIGTERM);
  event_loop loop;
  int stops = 0;
  RunDaemon(loop, [&] {
    signal_actions actions;
    actions.reload = [] {};
    actions.stop = [&](const std::function<void()>& done) {
      ++stops;
      done();
    };
    return actions;
  });
  CHECK(stops == 1);
}

}  // namespace
}  // namespace jasminedyke
