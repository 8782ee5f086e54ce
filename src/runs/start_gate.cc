#include "runs/start_gate.h"

namespace jasminedyke {

void start_gate::Set(domain_state state, time_point now) {
  bool drain_starts =
      state_ == domain_state::kServing && state == domain_state::kDrained;
  if (drain_starts)
    grace_ends_at_ = now + drain_grace_period_;
  state_ = state;
}

start_decision start_gate::Decide(bool begun, time_point now) const {
  switch (state_) {
    case domain_state::kServing:
      return start_decision::kStart;
    case domain_state::kUnknown:
      return start_decision::kWait;
    case domain_state::kDrained:
      break;
  }
  return begun && now < grace_ends_at_ ? start_decision::kStart
                                       : start_decision::kReturnToOwner;
}

}  // namespace jasminedyke
