// A daemon's life as a process: when it stops and reloads on signals.

#ifndef SRC_DAEMON_DAEMON_RUN_H_
#define SRC_DAEMON_DAEMON_RUN_H_

#include <functional>

#include "base/base.h"

namespace jasminedyke {

// What a running daemon does on a signal.
struct signal_actions {
  // On SIGTERM and SIGINT; calls `done` when the process may end.
  std::function<void(std::function<void()> done)> stop;
  // On SIGHUP.
  std::function<void()> reload;
};

// Keeps the signals that `RunDaemon` acts on pending until it does. Called
// first of all, as reading the settings takes a while on a busy machine.
void HoldSignals();

// Makes the daemon and runs the loop until it has stopped. What `make` throws
// passes through.
//
// Handlers stand before `make` runs: a signal that comes while the daemon is
// being put together would end the process by its default action, with an
// instance lost that was only to read its settings again. It is kept, and acted
// on as soon as the loop runs. One that comes after the stop is kept as well,
// and has no effect.
void RunDaemon(event_loop& loop, const std::function<signal_actions()>& make);

}  // namespace jasminedyke

#endif  // SRC_DAEMON_DAEMON_RUN_H_
