// Choice of the home that grants the slots of a failure domain.

#ifndef SRC_CLUSTER_HOME_SELECTOR_H_
#define SRC_CLUSTER_HOME_SELECTOR_H_

#include <functional>
#include <map>
#include <vector>

#include "base/base.h"
#include "policy/policy.h"
#include "protocol/protocol.h"

namespace jasminedyke {

// Chooses the home by rendezvous hashing among the entry instances that this
// instance considers alive. There is no vote: instances that disagree about
// which ones are alive choose different homes for a while, which only causes
// refused starts.
class home_selector {
 public:
  home_selector(scheduler& clock,
                const peer_identity& self,
                const peer_port& peers,
                granted_slots& holder_side,
                slot_home& home_side);

  void OnMembershipChanged(const membership_view& view);
  void OnPeerUp(const instance_id& peer);
  void OnPeerDown(const instance_id& peer);
  void OnPeerLeaving(const instance_id& peer);
  // Stops being home and a candidate, as this instance is stopping.
  void Leave();

  const instance_id& home() const { return home_; }

 private:
  std::vector<instance_id> Candidates() const;
  bool IsCandidate(const instance_info& info) const;
  void Choose();
  void SetShareWithoutHome();

  scheduler& clock_;
  peer_identity self_;
  const peer_port& peers_;
  granted_slots& holder_side_;
  slot_home& home_side_;
  membership_view view_;
  instance_id home_;
  bool leaving_ = false;
  // Peers that have announced that they are stopping.
  std::vector<instance_id> peers_leaving_;
  // The time until which a peer whose link broke remains a candidate.
  std::map<instance_id, time_point> grace_until_;
  scoped_timer grace_timer_;
};

}  // namespace jasminedyke

#endif  // SRC_CLUSTER_HOME_SELECTOR_H_
