// Hands each event of the links to the part that it concerns.

#ifndef SRC_CLUSTER_PEER_ROUTER_H_
#define SRC_CLUSTER_PEER_ROUTER_H_

#include "base/base.h"
#include "cluster/document_sync.h"
#include "cluster/home_selector.h"
#include "cluster/remote_jobs.h"
#include "policy/policy.h"
#include "protocol/protocol.h"

namespace jasminedyke {

// Also carries slot messages between the holder's and the home's side; when
// this instance is its own home they take no link.
class peer_router : public peer_listener {
 public:
  peer_router(scheduler& clock,
              peer_port& peers,
              const peer_identity& self,
              granted_slots& holder_side,
              slot_home& home_side,
              home_selector& homes,
              document_sync& documents,
              remote_jobs& jobs);

  void SendSlotMessage(const instance_id& peer, const slot_message& message);

  void OnPeerUp(const peer_identity& peer) override;
  void OnPeerDown(const instance_id& peer) override;
  void OnPeerMessage(const instance_id& peer,
                     const peer_message& message) override;

 private:
  void TakeSlotMessage(const instance_id& from, const slot_message& message);

  scheduler& clock_;
  peer_port& peers_;
  peer_identity self_;
  granted_slots& holder_side_;
  slot_home& home_side_;
  home_selector& homes_;
  document_sync& documents_;
  remote_jobs& jobs_;
};

}  // namespace jasminedyke

#endif  // SRC_CLUSTER_PEER_ROUTER_H_
