// Slot strategy that needs no messages between instances.

#ifndef SRC_POLICY_LOCAL_SLOTS_H_
#define SRC_POLICY_LOCAL_SLOTS_H_

#include "base/base.h"
#include "policy/slot_strategy.h"
#include "policy/upstream_table.h"

namespace jasminedyke {

// Assigns each entry instance a fixed share of each upstream's slots. No
// upstream is overloaded, but slots that one instance leaves idle can't be used
// by another. Serves as the fallback when no home is reachable.
class static_split_slots : public slot_strategy {
 public:
  static_split_slots(scheduler& clock,
                     const upstream_table& upstreams,
                     slot_host& host);

  // Assigns this instance share number `rank`, from 0, of `instances` shares.
  void SetShare(int rank, int instances);

  void OnWorkChanged() override;
  void OnAttemptEnded(const released_slot& slot) override;
  void OnMembershipChanged() override;
  void OnPeerMessage(const instance_id&, const slot_message&) override {}

  // Starts no more tasks until one of the functions above is called.
  void Pause() { retry_.Stop(); }

 private:
  int Share(size_t upstream_number, int slots) const;

  scheduler& clock_;
  const upstream_table& upstreams_;
  slot_host& host_;
  int rank_ = 0;
  int instances_ = 1;
  scoped_timer retry_;
};

}  // namespace jasminedyke

#endif  // SRC_POLICY_LOCAL_SLOTS_H_
