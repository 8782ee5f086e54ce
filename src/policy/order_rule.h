// Rules that decide in which order jobs get slots.

#ifndef SRC_POLICY_ORDER_RULE_H_
#define SRC_POLICY_ORDER_RULE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"

namespace jasminedyke {

// The properties of a job that its rank depends on.
struct order_facts {
  duration age{};             // time since its arrival
  duration target{};          // target time of its class
  duration remaining_work{};  // slot time of its tasks not yet started
  duration longest_task{};  // estimate; lower bound of the job's response time
};

// Ranks jobs by a weighted sum of their properties; the lowest rank comes
// first. Age counts linearly, so the ranks of all waiting jobs fall at the same
// rate and keep their order while nothing else changes.
struct order_rule {
  std::string_view name;
  double age_weight;
  double target_weight;
  double work_weight;

  // In seconds. Comparable between instances, as it depends on no clock's
  // epoch.
  double Rank(const order_facts& facts) const;
};

// All rules, for comparison in benchmarks.
const std::vector<order_rule>& OrderRules();

// Returns null if there is no rule of this name.
const order_rule* FindOrderRule(std::string_view name);

// The rule in use; docs/design/order.md has the measurements behind the choice.
const order_rule& DefaultOrderRule();

}  // namespace jasminedyke

#endif  // SRC_POLICY_ORDER_RULE_H_
