// Which peers to keep links to, and where they are.

#ifndef SRC_CLUSTER_PEER_ADDRESSES_H_
#define SRC_CLUSTER_PEER_ADDRESSES_H_

#include <map>

#include "base/base.h"
#include "cluster/home_election.h"

namespace jasminedyke {

// The members, and those that left a short time ago. An instance that restarts
// while the store is out of its reach knows nobody and is listed nowhere; it
// gets its configuration and its home only if a peer looks for it.
class peer_addresses {
 public:
  using address_map = std::map<instance_id, socket_address>;

  explicit peer_addresses(scheduler& clock) : clock_(clock) {}

  void SetMembers(const std::map<instance_id, entry_member>& members);

  // Drops those that left too long ago. True if there were any.
  bool ForgetLeft();

  address_map Wanted() const;

 private:
  struct left_peer {
    socket_address address;
    time_point at;
  };

  scheduler& clock_;
  address_map members_;
  std::map<instance_id, left_peer> left_;
};

}  // namespace jasminedyke

#endif  // SRC_CLUSTER_PEER_ADDRESSES_H_
