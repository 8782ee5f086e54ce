#include "runs/start_gate.h"

namespace jasminedyke {

void start_gate::Set(domain_state state, time_point now) {
  bool drain_begins =
      state_ == domain_state::kServing && state == domain_state::kDrained;
  if (drain_begins)
    finish_by_ = now + finish_time_;
  state_ = state;
}

start_permit start_gate::Permit(bool begun, time_point now) const {
  switch (state_) {
    case domain_state::kServing:
      return start_permit::kStart;
    case domain_state::kUnknown:
      return start_permit::kWait;
    case domain_state::kDrained:
      break;
  }
  return begun && now < finish_by_ ? start_permit::kStart
                                   : start_permit::kHandBack;
}

}  // namespace jasminedyke
