// Limits retries to a fraction of first attempts.

#ifndef SRC_POLICY_RETRY_BUDGET_H_
#define SRC_POLICY_RETRY_BUDGET_H_

#include <algorithm>

#include "base/base.h"

namespace jasminedyke {

// A token bucket that first attempts and elapsed time refill. Without it,
// retries would multiply the load when an upstream or a network fails every
// task. However many tasks wait to be retried, retries are limited to
// `kRetriesPerFirstAttempt` of first attempts plus `kRetriesPerSecond` and a
// burst of `kMaxBalance`. Elapsed time counts too, so that the last tasks can
// be retried when no further first attempts arrive.
class retry_budget {
 public:
  static constexpr double kRetriesPerFirstAttempt = 0.1;
  static constexpr double kRetriesPerSecond = 20;
  static constexpr double kMaxBalance = 20;

  void RecordFirstAttempt() { Refill(kRetriesPerFirstAttempt); }

  // Takes one retry from the budget. Returns false and takes nothing if less
  // than one is left.
  bool TakeRetry(time_point now) {
    Refill(ToSeconds(now - refilled_at_) * kRetriesPerSecond);
    refilled_at_ = now;
    if (balance_ < 1)
      return false;
    balance_ -= 1;
    return true;
  }

 private:
  void Refill(double retries) {
    balance_ = std::min(kMaxBalance, balance_ + retries);
  }

  double balance_ = kMaxBalance;
  time_point refilled_at_;
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_RETRY_BUDGET_H_
