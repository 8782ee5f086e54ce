// What the program does before its own objects are made.

#include <cerrno>

#include <fcntl.h>
#include <unistd.h>

#include "base/signals.h"
#include "daemon/daemon_run.h"

namespace {

// The lowest that programs may use: libraries have begun by then, also one that
// a tool puts in front and that has its own view of signals and files.
constexpr int kFirst = 101;

// A closed standard descriptor would be given to the next socket or timer, and
// the log would be written into it.
void OpenStandardDescriptors() {
  for (int each : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
    bool closed = fcntl(each, F_GETFD) < 0 && errno == EBADF;
    // The lowest free number is this one, as those below are open.
    if (closed && open("/dev/null", O_RDWR) < 0)
      return;
  }
}

[[gnu::constructor(kFirst)]] void OnFirstMoment() {
  jasminedyke::HoldSignals();
  jasminedyke::CountHarmlessSignals();
  OpenStandardDescriptors();
}

}  // namespace
