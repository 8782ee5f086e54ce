// The settings that operators change: classes of work with their targets, teams
// and administrators. They don't control where work runs or with which weight.

#ifndef SRC_POLICY_CONFIGURATION_H_
#define SRC_POLICY_CONFIGURATION_H_

#include <map>
#include <string>
#include <vector>

#include "base/base.h"

namespace jasminedyke {

inline constexpr duration kDefaultTarget = std::chrono::seconds(1);

struct class_settings {
  // Target time from the arrival of a job of this class to its answer.
  duration target = kDefaultTarget;
  // Whether a task with an unknown outcome may be retried. Applies only to
  // single requests.
  bool idempotent = false;

  bool operator==(const class_settings&) const = default;
};

struct team_settings {
  // Hex digests; the tokens themselves are never stored.
  std::vector<std::string> token_digests;
  // Slots, over all failure domains, that this team gets before other teams. 0
  // means that the team only shares spare slots.
  int quota_slots = 0;

  bool operator==(const team_settings&) const = default;
};

struct configuration {
  std::map<class_id, class_settings> classes;
  std::map<team_id, team_settings> teams;
  std::vector<std::string> administrator_digests;

  bool operator==(const configuration&) const = default;
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_CONFIGURATION_H_
