#include "runs/run_types.h"

namespace jasminedyke {

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
