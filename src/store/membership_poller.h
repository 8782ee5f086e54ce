// Keeps the membership view up to date from the platform.

#ifndef SRC_STORE_MEMBERSHIP_POLLER_H_
#define SRC_STORE_MEMBERSHIP_POLLER_H_

#include <functional>
#include <memory>
#include <optional>

#include "base/base.h"
#include "policy/policy.h"
#include "store/table_service.h"

namespace jasminedyke {

// Asks at an interval; peers may offer newer lists meanwhile.
class membership_poller {
 public:
  membership_poller(scheduler& clock, instance_directory& directory);

  void StartPolling(duration interval);
  void OnChange(std::function<void()> handler);

  // From a peer. Ignored unless newer.
  void Offer(const membership_list& list);

  const membership_view& view() const { return view_; }
  // Since the platform last answered; the maximum if it never did.
  duration platform_silence() const;

 private:
  void Poll();

  scheduler& clock_;
  instance_directory& directory_;
  membership_view view_;
  std::function<void()> on_change_;
  duration poll_interval_{};
  std::optional<time_point> platform_answered_;
  scoped_timer poll_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace jasminedyke

#endif  // SRC_STORE_MEMBERSHIP_POLLER_H_
