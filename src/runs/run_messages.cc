#include "runs/run_messages.h"

#include <algorithm>

namespace jasminedyke {

duration home_status::WaitOf(int priority) const {
  if (waits.empty())
    return wait;
  auto told = std::ranges::find_if(waits, [priority](const auto& each) {
    return each.priority >= priority;
  });
  return told == waits.end() ? waits.back().wait : told->wait;
}

const char* ToString(run_refusal reason) {
  switch (reason) {
    case run_refusal::kNone:
      return "none";
    case run_refusal::kOverload:
      return "overload";
    case run_refusal::kNoUpstream:
      return "no_upstream";
    case run_refusal::kNotHome:
      return "not_home";
    case run_refusal::kSuperseded:
      return "superseded";
    case run_refusal::kBusy:
      return "busy";
    case run_refusal::kDrained:
      return "drained";
    case run_refusal::kUpstreamsLost:
      return "upstreams_lost";
    case run_refusal::kNotAccepted:
      return "not_accepted";
  }
  return "none";
}

}  // namespace jasminedyke
