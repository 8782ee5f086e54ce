// To which entry instances this one keeps links.

#ifndef SRC_CLUSTER_PEER_CHOICE_H_
#define SRC_CLUSTER_PEER_CHOICE_H_

#include <map>

#include "base/base.h"
#include "http/http.h"
#include "policy/policy.h"
#include "protocol/protocol.h"

namespace jasminedyke {

// Links between each two failure domains.
inline constexpr int kLinksBetweenDomains = 2;

// All entry instances of the own failure domain; and, to each other domain,
// the links for which both ends choose each other by rendezvous hashing. All
// who see the same list choose the same links.
std::map<instance_id, socket_address> ChoosePeers(const membership_view& view,
                                                  const peer_identity& self);

}  // namespace jasminedyke

#endif  // SRC_CLUSTER_PEER_CHOICE_H_
