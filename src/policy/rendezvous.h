// Which entry instance is home to a failure domain's slots.

#ifndef SRC_POLICY_RENDEZVOUS_H_
#define SRC_POLICY_RENDEZVOUS_H_

#include <string>
#include <vector>

#include "base/base.h"

namespace jasminedyke {

// The candidate with the highest hash together with `subject` (rendezvous
// hashing). All who see the same candidates choose the same one, and when one
// goes only its own subjects move. Empty without candidates.
instance_id ChooseHome(const std::string& subject,
                       const std::vector<instance_id>& candidates);

}  // namespace jasminedyke

#endif  // SRC_POLICY_RENDEZVOUS_H_
