// Stops and reloads of a daemon as a process, and what its log tells of them.

#include <csignal>
#include <string>

#include <doctest/doctest.h>

#include "fakes/daemon_process.h"

namespace jasminedyke {
namespace {

// Guards against a stop of which nobody knows who asked for it.
TEST_CASE("a daemon tells which signals asked for its stop") {
  daemon_process daemon(SettingsText({}));
  REQUIRE_MESSAGE(daemon.WaitForLine("event=started"), daemon.log());
  daemon.Signal(SIGINT);
  CHECK_MESSAGE(daemon.WaitForLine("event=signal signal=SIGINT"), daemon.log());
  CHECK_MESSAGE(daemon.WaitForLine("event=stopping"), daemon.log());
  daemon.Signal(SIGTERM);
  CHECK_MESSAGE(daemon.WaitForLine("event=signal signal=SIGTERM"),
                daemon.log());
  CHECK_MESSAGE(daemon.WaitForLine("event=ended status=0"), daemon.log());
  CHECK(daemon.WaitForEnd() == 0);
}

// Guards against a daemon that ends, or forgets to stop, as its settings are
// read again while it stops.
TEST_CASE("a daemon that stops reads its settings again and stops") {
  daemon_process daemon(SettingsText({}));
  REQUIRE_MESSAGE(daemon.WaitForLine("event=started"), daemon.log());
  daemon.Signal(SIGTERM);
  REQUIRE_MESSAGE(daemon.WaitForLine("event=stopping"), daemon.log());
  daemon.Signal(SIGHUP);
  CHECK_MESSAGE(daemon.WaitForLine("event=reload"), daemon.log());
  CHECK_MESSAGE(daemon.WaitForLine("event=ended status=0"), daemon.log());
  CHECK(daemon.WaitForEnd() == 0);
}

// Guards against a daemon that ends as its settings file is broken when it is
// read again.
TEST_CASE("a daemon runs on when its new settings are broken") {
  daemon_process daemon(SettingsText({}));
  REQUIRE_MESSAGE(daemon.WaitForLine("event=started"), daemon.log());
  for (const char* broken :
       {"", "[instance", "\xff\xfe", "[instance]\nid = 1e999\n",
        "a = 99999999999999999999\n", "[listen]\ncallers = \"1:99999999999\"\n",
        "id = [[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[["}) {
    daemon.WriteSettings(broken);
    daemon.Signal(SIGHUP);
    INFO(broken);
    CHECK_MESSAGE(daemon.WaitForLine("event=reload"), daemon.log());
    CHECK_MESSAGE(daemon.WaitForLine("valid=0"), daemon.log());
  }
}

}  // namespace
}  // namespace jasminedyke
