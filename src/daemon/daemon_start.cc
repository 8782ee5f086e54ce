#include "daemon/daemon_start.h"

#include <exception>
#include <utility>

namespace jasminedyke {

namespace {

constexpr duration kReadAgain = std::chrono::milliseconds(50);

}  // namespace

daemon_start::daemon_start(scheduler& clock,
                           start_steps steps,
                           address_opener::bind_call bind)
    : clock_(clock),
      steps_(std::move(steps)),
      opener_(clock,
              {[this](open_sockets sockets) { Make(std::move(sockets)); },
               [this](const std::string& reason) { steps_.on_failed(reason); }},
              std::move(bind)),
      timer_(clock) {}

void daemon_start::Begin() {
  began_ = clock_.now();
  timer_.StartAfter(duration::zero(), [this] { Load(); });
}

bool daemon_start::Reload() {
  auto addresses = steps_.load();
  if (!addresses.ok())
    return false;
  timer_.Stop();
  opener_.Open(addresses.value());
  return true;
}

void daemon_start::Load() {
  auto addresses = steps_.load();
  if (addresses.ok())
    opener_.Open(addresses.value());
  else if (clock_.now() - began_ < kSettingsWait)
    WaitForSettings(addresses.error());
  else
    steps_.on_bad_settings(addresses.error());
}

void daemon_start::WaitForSettings(const settings_problems& problems) {
  if (logged_ != problems)
    LogEvent(log_level::kWarning, "settings_awaited",
             {{"problem", problems.front().ToString("settings")},
              {"problems", problems.size()},
              {"waiting_ms", WholeMilliseconds(clock_.now() - began_)}});
  logged_ = problems;
  timer_.StartAfter(kReadAgain, [this] { Load(); });
}

// Called from the loop, which no exception may pass.
void daemon_start::Make(open_sockets sockets) {
  try {
    steps_.make(std::move(sockets));
  } catch (const std::exception& error) {
    steps_.on_failed(error.what());
  }
}

}  // namespace jasminedyke
