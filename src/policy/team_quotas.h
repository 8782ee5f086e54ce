// Which teams hold more slots than are theirs.

#ifndef SRC_POLICY_TEAM_QUOTAS_H_
#define SRC_POLICY_TEAM_QUOTAS_H_

#include <map>

#include "base/base.h"
#include "policy/configuration.h"

namespace jasminedyke {

// Quotas of the teams within one failure domain. A team below its quota comes
// before teams that are at or above theirs; what it leaves unused is theirs to
// share. So a quota is a guarantee and never a ceiling, and no slot stays idle
// while anyone has work.
class team_quotas {
 public:
  // The domain's part of a quota is its part of all slots, rounded up.
  void Set(const configuration& config, int domain_slots, int all_slots) {
    quota_.clear();
    if (all_slots <= 0)
      return;
    for (const auto& [team, settings] : config.teams) {
      int64_t part = int64_t{settings.quota_slots} * domain_slots;
      quota_[team] = static_cast<int>((part + all_slots - 1) / all_slots);
    }
  }

  int quota(const team_id& team) const {
    auto found = quota_.find(team);
    return found == quota_.end() ? 0 : found->second;
  }

  bool AtQuota(const team_id& team, int running) const {
    return running >= quota(team);
  }

 private:
  std::map<team_id, int> quota_;
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_TEAM_QUOTAS_H_
