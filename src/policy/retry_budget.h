// Keeps retries to a share of first attempts.

#ifndef SRC_POLICY_RETRY_BUDGET_H_
#define SRC_POLICY_RETRY_BUDGET_H_

#include <algorithm>

#include "base/base.h"

namespace jasminedyke {

// Each first attempt earns a fraction of a retry, and so does time, up to a
// reserve. When an upstream or a network fails everything, retries would
// multiply the load just then; the budget bounds them at `kShare` of first
// attempts plus `kPerSecond` and the reserve, however many tasks wait to be
// retried. Time counts so that the last task of all need not wait for first
// attempts that never come.
class retry_budget {
 public:
  static constexpr double kShare = 0.1;
  static constexpr double kPerSecond = 20;
  static constexpr double kReserve = 20;

  void RecordFirstAttempt() { Earn(kShare); }

  // False if the budget is spent; nothing is taken then.
  bool TakeRetry(time_point now) {
    Earn(ToSeconds(now - refilled_) * kPerSecond);
    refilled_ = now;
    if (balance_ < 1)
      return false;
    balance_ -= 1;
    return true;
  }

 private:
  void Earn(double retries) {
    balance_ = std::min(kReserve, balance_ + retries);
  }

  double balance_ = kReserve;
  time_point refilled_;
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_RETRY_BUDGET_H_
