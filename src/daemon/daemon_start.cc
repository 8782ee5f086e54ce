#include "daemon/daemon_start.h"

#include <exception>
#include <utility>

namespace jasminedyke {

namespace {

constexpr duration kReadAgain = std::chrono::milliseconds(50);
// Once it isn't a file in the middle of being written.
constexpr duration kReadAgainLater = std::chrono::seconds(1);
// Between two lines on the same problems.
constexpr duration kLogPause = std::chrono::seconds(30);

}  // namespace

daemon_start::daemon_start(scheduler& clock,
                           start_steps steps,
                           address_opener::bind_call bind)
    : clock_(clock),
      steps_(std::move(steps)),
      opener_(clock,
              {[this](open_sockets sockets) {
                 Guard([&] { steps_.make(std::move(sockets)); });
               },
               [this](const std::string& reason) { steps_.on_failed(reason); },
               [this](const listen_address& address, server_socket socket) {
                 Guard([&] { steps_.on_early(address, std::move(socket)); });
               }},
              std::move(bind)),
      timer_(clock) {}

void daemon_start::Begin() {
  began_ = usable_at_ = clock_.now();
  timer_.StartAfter(duration::zero(), [this] { Load(); });
}

bool daemon_start::Reload() {
  auto addresses = steps_.load();
  if (!addresses.ok())
    return false;
  GoOn(addresses.value());
  return true;
}

void daemon_start::Load() {
  auto addresses = steps_.load();
  if (addresses.ok())
    GoOn(addresses.value());
  else if (clock_.now() - usable_at_ < kSettingsWait)
    WaitForSettings(addresses.error());
  else
    steps_.on_bad_settings(addresses.error());
}

void daemon_start::GoOn(const std::vector<listen_address>& addresses) {
  timer_.Stop();
  usable_at_ = clock_.now();
  settings_problems lacking;
  if (steps_.awaited)
    lacking = steps_.awaited();
  opener_.Open(addresses, lacking.empty());
  if (!lacking.empty())
    WaitForSettings(lacking);
}

void daemon_start::WaitForSettings(const settings_problems& problems) {
  time_point now = clock_.now();
  duration waits = now - began_;
  if (logged_ != problems || now - logged_at_ >= kLogPause) {
    logged_ = problems;
    logged_at_ = now;
    LogEvent(log_level::kWarning, "settings_awaited",
             {{"problem", problems.front().ToString("settings")},
              {"problems", problems.size()},
              {"waiting_ms", WholeMilliseconds(waits)}});
  }
  bool usable = now == usable_at_;
  timer_.StartAfter(
      usable && waits >= kSettingsWait ? kReadAgainLater : kReadAgain,
      [this] { Load(); });
}

void daemon_start::Guard(const std::function<void()>& step) {
  try {
    step();
  } catch (const std::exception& error) {
    steps_.on_failed(error.what());
  }
}

}  // namespace jasminedyke
