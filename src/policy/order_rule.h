// In which order jobs get slots.

#ifndef SRC_POLICY_ORDER_RULE_H_
#define SRC_POLICY_ORDER_RULE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"

namespace jasminedyke {

// The facts of a job that an order may look at.
struct order_facts {
  duration age{};             // since its arrival
  duration target{};          // of its class
  duration remaining_work{};  // slot time of its tasks not yet started
  duration longest_task{};    // estimate, a lower bound of its answer time
};

// An order is a weighted sum of the facts; the job with the least rank goes
// first. Age counts linearly, so that the ranks of waiting jobs all fall at
// the same speed and keep their order while nothing else changes.
struct order_rule {
  std::string_view name;
  double age_weight;
  double target_weight;
  double work_weight;

  // In seconds; comparable between instances, as no clock's origin is in it.
  double Rank(const order_facts& facts) const;
};

// All rules that can be measured against each other.
const std::vector<order_rule>& OrderRules();

// Null if there is no such rule.
const order_rule* FindOrderRule(std::string_view name);

// The rule that measurement chose; see docs/design/order.md.
const order_rule& DefaultOrderRule();

}  // namespace jasminedyke

#endif  // SRC_POLICY_ORDER_RULE_H_
