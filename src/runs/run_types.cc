#include "runs/run_types.h"

#include <algorithm>

namespace jasminedyke {

resource_amount ComponentwiseMax(const resource_amount& a,
                                 const resource_amount& b) {
  return {std::max(a.cpu_millis, b.cpu_millis),
          std::max(a.memory_mb, b.memory_mb),
          std::max(a.accelerators, b.accelerators)};
}

const char* ToString(run_end end) {
  switch (end) {
    case run_end::kDone:
      return "done";
    case run_end::kFailed:
      return "failed";
    case run_end::kStopped:
      return "stopped";
    case run_end::kLapsed:
      return "lapsed";
    case run_end::kBroken:
      return "broken";
    case run_end::kAlone:
      return "alone";
  }
  return "failed";
}

}  // namespace jasminedyke
