// Warnings before the process is at its limits.

#include "daemon/limit_watch.h"

#include <string>

#include <doctest/doctest.h>

#include "fakes/daemon_process.h"

namespace jasminedyke {
namespace {

// Guards against a log that is full of warnings, or has none, before a process
// is killed for its memory.
TEST_CASE("a use that comes near its limit is told once") {
  limited_use use;
  CHECK_FALSE(use.ComesNear(799, 1000));
  CHECK(use.ComesNear(800, 1000));
  CHECK_FALSE(use.ComesNear(1000, 1000));
  CHECK_FALSE(use.ComesNear(700, 1000));
  CHECK_FALSE(use.ComesNear(900, 1000));
  CHECK_FALSE(use.ComesNear(599, 1000));
  CHECK(use.ComesNear(900, 1000));
}

// Guards against warnings of a limit that nobody has set.
TEST_CASE("without a limit no use is near it") {
  limited_use use;
  CHECK_FALSE(use.ComesNear(UINT64_MAX, 0));
}

// Guards against a daemon that is killed for its memory and has told nothing.
TEST_CASE("a daemon near the limit of its memory says so") {
  std::string settings = SettingsText({});
  settings.insert(settings.find("cores = 1"), "memory_mb = 1\n");
  daemon_process daemon(settings);
  CHECK_MESSAGE(daemon.WaitForLine("event=near_limit of=memory"), daemon.log());
}

}  // namespace
}  // namespace jasminedyke
