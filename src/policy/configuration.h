// What operators set: classes of work with their targets, teams and
// administrators. Nothing here says where or with which weight work runs.

#ifndef SRC_POLICY_CONFIGURATION_H_
#define SRC_POLICY_CONFIGURATION_H_

#include <map>
#include <string>
#include <vector>

#include "base/base.h"

namespace jasminedyke {

inline constexpr duration kDefaultTarget = std::chrono::seconds(1);

struct class_settings {
  // How soon after its arrival a job of this class should be answered.
  duration target = kDefaultTarget;
  // Whether a task of unknown outcome may be tried again. Only single
  // requests make use of it.
  bool idempotent = false;

  bool operator==(const class_settings&) const = default;
};

struct team_settings {
  // Hex digests; the tokens themselves are never stored.
  std::vector<std::string> token_digests;
  // Slots over all failure domains that are this team's before others may
  // have them. 0: none of its own, it shares what is spare.
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
