// Slot quotas of teams within a failure domain.

#ifndef SRC_POLICY_TEAM_QUOTAS_H_
#define SRC_POLICY_TEAM_QUOTAS_H_

#include <map>

#include "base/base.h"
#include "policy/configuration.h"

namespace jasminedyke {

// A team below its quota takes precedence over teams at or above theirs, which
// may use the slots that it leaves idle. So a quota guarantees a minimum and
// sets no maximum, and no slot stays idle while any team has work.
class team_quotas {
 public:
  // Gives the domain the same fraction of each quota as it has of all slots,
  // rounded up.
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
