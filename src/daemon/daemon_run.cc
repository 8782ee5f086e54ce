#include "daemon/daemon_run.h"

#include <csignal>

namespace jasminedyke {

namespace {

// `how` is that of `pthread_sigmask`.
void MaskSignals(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  for (int each : {SIGTERM, SIGINT, SIGHUP})
    sigaddset(&signals, each);
  pthread_sigmask(how, &signals, nullptr);
}

// Signals that the loop handles are let through while this lives. The loop
// gives them their default actions back when it goes, which would end the
// process before its last line.
class signals_let_through {
 public:
  signals_let_through() { MaskSignals(SIG_UNBLOCK); }
  ~signals_let_through() { MaskSignals(SIG_BLOCK); }
  signals_let_through(const signals_let_through&) = delete;
  signals_let_through& operator=(const signals_let_through&) = delete;
};

}  // namespace

void HoldSignals() {
  MaskSignals(SIG_BLOCK);
}

void RunDaemon(event_loop& loop, const std::function<signal_actions()>& make) {
  signal_actions actions;
  loop.OnStopSignal([&] { actions.stop([&loop] { loop.Stop(); }); });
  loop.OnReloadSignal([&] { actions.reload(); });
  signals_let_through while_it_runs;
  actions = make();
  loop.Run();
}

}  // namespace jasminedyke
