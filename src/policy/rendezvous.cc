#include "policy/rendezvous.h"

namespace jasminedyke {

instance_id ChooseHome(const std::string& subject,
                       const std::vector<instance_id>& candidates) {
  instance_id best;
  uint64_t best_hash = 0;
  for (const instance_id& candidate : candidates) {
    uint64_t hash = StableHash(subject + "/" + candidate.str());
    if (best.empty() || hash > best_hash) {
      best = candidate;
      best_hash = hash;
    }
  }
  return best;
}

}  // namespace jasminedyke
