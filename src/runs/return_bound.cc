#include "runs/return_bound.h"

#include <algorithm>

namespace jasminedyke {

duration return_bound::MaxLease(duration longest_lease) const {
  return std::min(
      longest_lease,
      std::max(kMinLease, resend_after_ - kReturnMargin - kMaxConfirmationAge));
}

}  // namespace jasminedyke
