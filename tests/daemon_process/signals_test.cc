// Signals that reach a daemon while it runs.

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <string>

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include "fakes/daemon_process.h"

namespace jasminedyke {
namespace {

// Guards against a daemon that ends by a signal that tells it nothing.
TEST_CASE("a daemon runs on after signals that tell it nothing") {
  for (int number : {SIGUSR1, SIGUSR2, SIGALRM, SIGVTALRM, SIGPROF, SIGIO,
                     SIGXFSZ, SIGPIPE, SIGPWR, SIGSTKFLT}) {
    INFO(strsignal(number));
    daemon_process daemon(SettingsText({}));
    REQUIRE_MESSAGE(daemon.WaitForLine("event=started"), daemon.log());
    daemon.Signal(number);
    daemon.Signal(SIGHUP);
    CHECK_MESSAGE(daemon.WaitForLine("event=reload"), daemon.log());
  }
}

// Guards against a daemon that no longer stops in order after such signals.
TEST_CASE("a daemon stops in order after signals that tell it nothing") {
  daemon_process daemon(SettingsText({}));
  REQUIRE_MESSAGE(daemon.WaitForLine("event=started"), daemon.log());
  for (int number : {SIGUSR1, SIGUSR2, SIGALRM, SIGVTALRM, SIGPROF, SIGIO,
                     SIGXFSZ, SIGPIPE, SIGPWR, SIGSTKFLT})
    daemon.Signal(number);
  daemon.Signal(SIGTERM);
  CHECK_MESSAGE(daemon.WaitForLine("event=ended status=0"), daemon.log());
  CHECK(daemon.WaitForEnd() == 0);
}

// Guards against a daemon that never acts on a signal since its parent blocks
// it, as one must that sends signals right after the start.
TEST_CASE("a daemon acts on signals that its parent has blocked") {
  daemon_parent parent;
  parent.blocked_signals = {SIGHUP, SIGTERM, SIGINT};
  daemon_process reloads(SettingsText({}), parent);
  reloads.Signal(SIGHUP);
  CHECK_MESSAGE(reloads.WaitForLine("event=reload"), reloads.log());
  for (int number : {SIGTERM, SIGINT}) {
    daemon_process stops(SettingsText({}), parent);
    stops.Signal(number);
    CHECK_MESSAGE(stops.WaitForLine("event=ended status=0"), stops.log());
    CHECK(stops.WaitForEnd() == 0);
  }
}

// Guards against a daemon that ends by a fault and leaves no line.
TEST_CASE(
    "a fault or an order to leave a core dump ends a daemon with a line") {
  struct ending {
    int number;
    const char* line;
  };
  for (const ending& each : {ending{SIGSEGV, "ended signal=SIGSEGV"},
                             ending{SIGABRT, "ended signal=SIGABRT"},
                             ending{SIGQUIT, "ended signal=SIGQUIT"},
                             ending{SIGTRAP, "ended signal=SIGTRAP"},
                             ending{SIGXCPU, "ended signal=SIGXCPU"}}) {
    daemon_process daemon(SettingsText({}));
    REQUIRE_MESSAGE(daemon.WaitForLine("event=started"), daemon.log());
    daemon.Signal(each.number);
    CHECK_MESSAGE(daemon.WaitForLine(each.line), daemon.log());
    CHECK(daemon.WaitForEnd() != 0);
  }
}

// Guards against a daemon that says it has ended and runs on, since the program
// that started it, such as a shell in the background, ignores the signal.
TEST_CASE("a signal that a daemon's parent ignores changes nothing") {
  daemon_parent parent;
  parent.ignored_signals = {SIGQUIT};
  daemon_process daemon(SettingsText({}), parent);
  REQUIRE_MESSAGE(daemon.WaitForLine("event=started"), daemon.log());
  daemon.Signal(SIGQUIT);
  daemon.Signal(SIGHUP);
  REQUIRE_MESSAGE(daemon.WaitForLine("event=reload"), daemon.log());
  CHECK_MESSAGE(daemon.log().find("ended") == std::string::npos, daemon.log());
}

// Guards against a daemon that says it has ended and runs on, since nobody sent
// the signal but the kernel did.
TEST_CASE("a key that asks for a core dump ends a daemon in a terminal") {
  constexpr char kQuitKey = '\x1c';
  int keyboard = posix_openpt(O_RDWR | O_NOCTTY | O_CLOEXEC);
  REQUIRE(keyboard >= 0);
  REQUIRE(grantpt(keyboard) == 0);
  REQUIRE(unlockpt(keyboard) == 0);
  daemon_parent parent;
  parent.terminal = ptsname(keyboard);
  {
    daemon_process daemon(SettingsText({}), parent);
    REQUIRE_MESSAGE(daemon.WaitForLine("event=started"), daemon.log());
    REQUIRE(write(keyboard, &kQuitKey, 1) == 1);
    CHECK_MESSAGE(daemon.WaitForLine("ended signal=SIGQUIT"), daemon.log());
    daemon.Signal(SIGHUP);
    REQUIRE_FALSE_MESSAGE(daemon.WaitForLine("event=reload"), daemon.log());
    CHECK(daemon.WaitForEnd() == -SIGQUIT);
  }
  close(keyboard);
}

// Guards against a daemon that ends as its log reaches the size that a file may
// have.
TEST_CASE("a daemon runs on when the file of its log may not grow") {
  daemon_parent parent;
  parent.log_is_file = true;
  daemon_process daemon(SettingsText({}), parent);
  REQUIRE_MESSAGE(daemon.WaitForLine("event=started"), daemon.log());
  daemon.LimitFileSize(daemon.log().size());
  daemon.Signal(SIGHUP);
  daemon.Signal(SIGTERM);
  CHECK(daemon.WaitForEnd() == 0);
}

}  // namespace
}  // namespace jasminedyke
