// The end of a daemon as a process that is still sent signals.

#include <csignal>

#include <doctest/doctest.h>

#include "fakes/daemon_process.h"

namespace jasminedyke {
namespace {

// Enough that they go on until the process is gone.
constexpr int kSignals = 100000;

// Returns the exit status of a daemon that has been asked to stop and is sent
// this signal all the while that it ends.
int EndUnderSignals(int number) {
  daemon_process daemon(SettingsText({}));
  REQUIRE_MESSAGE(daemon.WaitForLine("event=started"), daemon.log());
  daemon.Signal(SIGTERM);
  CHECK_MESSAGE(daemon.WaitForLine("event=stopped"), daemon.log());
  for (int i = 0; i < kSignals; ++i)
    daemon.Signal(number);
  return daemon.WaitForEnd();
}

// Guards against a stop as asked that looks like a crash, as one more signal
// comes after the handlers of signals are gone.
TEST_CASE("a signal to a daemon that has stopped doesn't change its status") {
  for (int number : {SIGHUP, SIGTERM, SIGINT})
    CHECK(EndUnderSignals(number) == 0);
}

}  // namespace
}  // namespace jasminedyke
