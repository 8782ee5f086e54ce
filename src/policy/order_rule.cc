#include "policy/order_rule.h"

namespace jasminedyke {

double order_rule::Rank(const order_facts& facts) const {
  return target_weight * ToSeconds(facts.target) +
         work_weight * ToSeconds(facts.remaining_work) -
         age_weight * ToSeconds(facts.age);
}

const std::vector<order_rule>& OrderRules() {
  static const std::vector<order_rule> kRules = {
      // name, age, target, work
      {"arrival", 1, 0, 0},           {"deadline", 1, 1, 0},
      {"least-work", 0, 0, 1},        {"least-work-aged", 1, 0, 1},
      {"deadline-and-work", 1, 1, 1}, {"deadline-and-little-work", 1, 1, 0.1},
  };
  return kRules;
}

const order_rule* FindOrderRule(std::string_view name) {
  for (const order_rule& rule : OrderRules()) {
    if (rule.name == name)
      return &rule;
  }
  return nullptr;
}

const order_rule& DefaultOrderRule() {
  static const order_rule& rule = *FindOrderRule("deadline-and-work");
  return rule;
}

}  // namespace jasminedyke
