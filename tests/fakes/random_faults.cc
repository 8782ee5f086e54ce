#include "fakes/random_faults.h"

#include <algorithm>

namespace jasminedyke {

random_faults::random_faults(run_nodes& nodes, uint64_t seed)
    : nodes_(nodes), random_(seed) {
  nodes_.fleet.fate = [this](const upstream_id&, const std::string&) {
    if (!Chance(call_fault_probability))
      return call_fate::kAnswered;
    constexpr call_fate kFates[] = {call_fate::kRequestLost,
                                    call_fate::kReplyLost, call_fate::kDelayed};
    return kFates[Pick(3)];
  };
}

bool random_faults::Chance(double probability) {
  return std::uniform_real_distribution<>(0, 1)(random_) < probability;
}

duration random_faults::Between(duration shortest, duration longest) {
  auto span =
      std::chrono::duration_cast<std::chrono::milliseconds>(longest - shortest);
  return shortest +
         std::chrono::milliseconds(Pick(static_cast<size_t>(span.count()) + 1));
}

void random_faults::HealAll() {
  for (run_node* a : nodes_.Live()) {
    for (run_node* b : nodes_.Live())
      nodes_.Heal(*a, *b);
  }
}

std::vector<std::string> random_faults::FalselyRefused() {
  std::vector<std::string> keys;
  for (const auto& [key, answers] : nodes_.answers) {
    bool all_refused = std::ranges::all_of(answers, [](const auto& a) {
      return a.outcome == run_outcome::kNotRun;
    });
    // A submission without an answer does not show whether anything ran.
    bool all_answered = answers.size() == nodes_.submissions[key];
    if (all_answered && all_refused && nodes_.Starts(key) > 0)
      keys.push_back(key);
  }
  return keys;
}

}  // namespace jasminedyke
