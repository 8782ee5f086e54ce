// Chooses the entry instance that is home to a failure domain's slots.

#ifndef SRC_POLICY_RENDEZVOUS_H_
#define SRC_POLICY_RENDEZVOUS_H_

#include <string>
#include <vector>

#include "base/base.h"

namespace jasminedyke {

// Returns the candidate whose id, hashed together with `subject`, gives the
// highest value (rendezvous hashing). All instances with the same candidates
// choose the same one, and removing a candidate moves only the subjects that
// were assigned to it. Returns an empty id if there are no candidates.
instance_id ChooseHome(const std::string& subject,
                       const std::vector<instance_id>& candidates);

}  // namespace jasminedyke

#endif  // SRC_POLICY_RENDEZVOUS_H_
