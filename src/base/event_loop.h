// The libevent loop of a process.

#ifndef SRC_BASE_EVENT_LOOP_H_
#define SRC_BASE_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "base/timer_queue.h"

struct event;
struct event_base;

namespace jasminedyke {

// One thread's event loop, its clock and its timers. Everything that belongs
// to a loop is used from its thread only.
class event_loop : public scheduler {
 public:
  // Throws `std::runtime_error` if libevent can't be started.
  event_loop();
  ~event_loop() override;
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  time_point now() const override;
  time_point boot_now() const override;
  timer_id CallAt(time_point when, timer_callback callback) override;
  void Cancel(timer_id id) override;

  // Calls `handler` on the loop for each SIGTERM and SIGINT.
  void OnStopSignal(std::function<void()> handler);

  // Calls `handler` on the loop for each SIGHUP.
  void OnReloadSignal(std::function<void()> handler);

  // Returns after `Stop`.
  void Run();
  void Stop();

  // Handles what is ready and returns; waits for at most one event.
  void RunOnce();

  event_base* base() const { return base_.get(); }

 private:
  struct event_base_deleter {
    void operator()(event_base* base) const;
  };
  struct event_deleter {
    void operator()(event* e) const;
  };
  using event_ptr = std::unique_ptr<event, event_deleter>;

  void ArmTimer();
  void RunDueTimers();

  std::unique_ptr<event_base, event_base_deleter> base_;
  timer_queue timers_;
  event_ptr timer_event_;
  event_ptr terminate_event_;
  event_ptr interrupt_event_;
  event_ptr reload_event_;
  std::function<void()> on_stop_signal_;
  std::function<void()> on_reload_signal_;
  // When `timer_event_` fires next; the maximum while it is not armed.
  time_point armed_for_ = time_point::max();
};

}  // namespace jasminedyke

#endif  // SRC_BASE_EVENT_LOOP_H_
