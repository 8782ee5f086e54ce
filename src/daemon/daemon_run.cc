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

}  // namespace

void HoldSignals() {
  MaskSignals(SIG_BLOCK);
}

void RunDaemon(event_loop& loop, const std::function<signal_actions()>& make) {
  signal_actions actions;
  loop.OnStopSignal([&] { actions.stop([&loop] { loop.Stop(); }); });
  loop.OnReloadSignal([&] { actions.reload(); });
  MaskSignals(SIG_UNBLOCK);
  actions = make();
  loop.Run();
}

}  // namespace jasminedyke
