#include "store/membership_poller.h"

#include <utility>

namespace jasminedyke {

membership_poller::membership_poller(scheduler& clock,
                                     instance_directory& directory)
    : clock_(clock), directory_(directory), poll_timer_(clock) {}

void membership_poller::StartPolling(duration interval) {
  poll_interval_ = interval;
  Poll();
}

void membership_poller::OnChange(std::function<void()> handler) {
  on_change_ = std::move(handler);
}

void membership_poller::Offer(const membership_list& list) {
  if (!view_.Update(list))
    return;
  LogEvent(log_level::kInfo, "membership",
           {{"version", list.version.value()},
            {"instances", list.instances.size()}});
  if (on_change_)
    on_change_();
}

duration membership_poller::platform_silence() const {
  return platform_answered_ ? clock_.now() - *platform_answered_
                            : duration::max();
}

void membership_poller::Poll() {
  std::weak_ptr<bool> alive = alive_;
  directory_.List(
      view_.version(),
      [this, alive](
          const outcome<std::optional<membership_list>, store_error>& list) {
        if (alive.expired())
          return;
        if (list.ok()) {
          platform_answered_ = clock_.now();
          if (list.value())
            Offer(*list.value());
        }
        poll_timer_.StartAfter(poll_interval_, [this] { Poll(); });
      });
}

}  // namespace jasminedyke
