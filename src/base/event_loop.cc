#include "base/event_loop.h"

#include <algorithm>
#include <csignal>
#include <ctime>
#include <stdexcept>
#include <utility>

#include <event2/event.h>

#include "base/log.h"
#include "base/signals.h"

namespace jasminedyke {

namespace {

// Timers run in one pass before sockets get their turn again.
constexpr int kMaxTimersInOnePass = 256;

// Tells in the log who asks for what follows.
void TellSignal(evutil_socket_t number) {
  CountSignal(number);
  LogEvent(log_level::kInfo, "signal", {{"signal", SignalName(number)}});
}

}  // namespace

void event_loop::event_base_deleter::operator()(event_base* base) const {
  event_base_free(base);
}

void event_loop::event_deleter::operator()(event* e) const {
  event_free(e);
}

event_loop::event_loop() {
  // A peer that closes while we write must be an error of that write, not
  // the end of the process.
  std::signal(SIGPIPE, SIG_IGN);
  // Without it, timers are rounded up to whole milliseconds.
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  base_.reset(event_base_new_with_config(config));
  event_config_free(config);
  if (!base_)
    throw std::runtime_error("libevent can't create an event base");
  timer_event_.reset(event_new(
      base_.get(), -1, 0,
      [](evutil_socket_t, short, void* self) {
        static_cast<event_loop*>(self)->RunDueTimers();
      },
      this));
  if (!timer_event_)
    throw std::runtime_error("libevent can't create a timer");
}

event_loop::~event_loop() = default;

time_point event_loop::now() const {
  return time_point(std::chrono::duration_cast<duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

time_point event_loop::boot_now() const {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return time_point(std::chrono::duration_cast<duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec)));
}

timer_id event_loop::CallAt(time_point when, timer_callback callback) {
  timer_id id = timers_.Add(when, std::move(callback));
  ArmTimer();
  return id;
}

void event_loop::Cancel(timer_id id) {
  // The libevent timer may now fire early; it then finds nothing due.
  timers_.Cancel(id);
}

void event_loop::OnStopSignal(std::function<void()> handler) {
  on_stop_signal_ = std::move(handler);
  auto on_signal = [](evutil_socket_t number, short, void* self) {
    TellSignal(number);
    static_cast<event_loop*>(self)->on_stop_signal_();
  };
  terminate_event_.reset(evsignal_new(base_.get(), SIGTERM, on_signal, this));
  interrupt_event_.reset(evsignal_new(base_.get(), SIGINT, on_signal, this));
  event_add(terminate_event_.get(), nullptr);
  event_add(interrupt_event_.get(), nullptr);
}

void event_loop::OnReloadSignal(std::function<void()> handler) {
  on_reload_signal_ = std::move(handler);
  auto on_signal = [](evutil_socket_t number, short, void* self) {
    TellSignal(number);
    static_cast<event_loop*>(self)->on_reload_signal_();
  };
  reload_event_.reset(evsignal_new(base_.get(), SIGHUP, on_signal, this));
  event_add(reload_event_.get(), nullptr);
}

void event_loop::Run() {
  event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::Stop() {
  event_base_loopbreak(base_.get());
}

void event_loop::RunOnce() {
  event_base_loop(base_.get(), EVLOOP_ONCE);
}

void event_loop::ArmTimer() {
  auto due = timers_.next_due();
  if (!due || *due >= armed_for_)
    return;
  armed_for_ = *due;
  auto wait = std::max(duration::zero(), *due - now());
  if (wait == duration::zero()) {
    event_active(timer_event_.get(), EV_TIMEOUT, 0);
    return;
  }
  timeval tv;
  tv.tv_sec = wait.count() / 1000000;
  tv.tv_usec = wait.count() % 1000000;
  event_add(timer_event_.get(), &tv);
}

void event_loop::RunDueTimers() {
  armed_for_ = time_point::max();
  for (int i = 0; i < kMaxTimersInOnePass; ++i) {
    timer_callback callback = timers_.TakeDue(now());
    if (!callback)
      break;
    callback();
  }
  ArmTimer();
}

}  // namespace jasminedyke
