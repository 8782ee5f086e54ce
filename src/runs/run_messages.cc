#include "runs/run_messages.h"

namespace jasminedyke {

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
