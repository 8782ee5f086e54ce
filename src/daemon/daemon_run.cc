#include "daemon/daemon_run.h"

namespace jasminedyke {

void RunDaemon(event_loop& loop, const std::function<signal_actions()>& make) {
  signal_actions actions;
  loop.OnStopSignal([&] { actions.stop([&loop] { loop.Stop(); }); });
  loop.OnReloadSignal([&] { actions.reload(); });
  actions = make();
  loop.Run();
}

}  // namespace jasminedyke
