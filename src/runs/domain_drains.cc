#include "runs/domain_drains.h"

namespace jasminedyke {

bool domain_drains::UpdateIfNewer(const drained_domains& heard) {
  if (heard.as_of <= newest_.as_of)
    return false;
  bool changed = !known() || heard.domains != newest_.domains;
  newest_ = heard;
  return changed;
}

domain_state domain_drains::StateOf(const failure_domain_id& domain) const {
  if (!known())
    return domain_state::kUnknown;
  return newest_.domains.contains(domain) ? domain_state::kDrained
                                          : domain_state::kServing;
}

}  // namespace jasminedyke
