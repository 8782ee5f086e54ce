// Keeps retries to a share of first attempts.

#ifndef SRC_POLICY_RETRY_BUDGET_H_
#define SRC_POLICY_RETRY_BUDGET_H_

#include <algorithm>

namespace jasminedyke {

// Each first attempt earns a fraction of a retry, up to a reserve. When an
// upstream or a network fails everything, retries would multiply the load
// just then; the budget bounds them at `kShare` of first attempts plus the
// reserve.
class retry_budget {
 public:
  static constexpr double kShare = 0.1;
  static constexpr double kReserve = 20;

  void RecordFirstAttempt() {
    balance_ = std::min(kReserve, balance_ + kShare);
  }

  // False if the budget is spent; nothing is taken then.
  bool TakeRetry() {
    if (balance_ < 1)
      return false;
    balance_ -= 1;
    return true;
  }

  double balance() const { return balance_; }

 private:
  double balance_ = kReserve;
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_RETRY_BUDGET_H_
